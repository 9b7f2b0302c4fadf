package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one running instance of a service that takes requests.
 *
 * @param value the text of the id; letters, digits, {@code .}, {@code _}, {@code :}, {@code /} and {@code -}
 * @since 0.1
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {
    /** Checks the text of the id. */
    public UpstreamId {
        IdSyntax.checkPath(value, "upstream id");
    }

    /**
     * Returns the id with the given text.
     *
     * @param value the text of the id
     * @return the id, never null
     * @throws dev.waxwinghead.model.error.WaxwingheadException if the text is empty, too long or holds another
     *     character
     */
    @JsonCreator
    public static UpstreamId of(String value) {
        return new UpstreamId(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
