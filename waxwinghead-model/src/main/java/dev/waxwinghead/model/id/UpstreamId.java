package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a running instance of a service that accepts requests.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :}, {@code /} and {@code -}
 * @since 0.1
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {
    /** Validates the text of the id. */
    public UpstreamId {
        IdSyntax.checkPath(value, "upstream id");
    }

    /**
     * Returns the id with the given text.
     *
     * @param value the text of the id
     * @return the id, never null
     * @throws dev.waxwinghead.model.error.WaxwingheadException if the text is null, empty or too long, or contains an
     *     invalid character
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
