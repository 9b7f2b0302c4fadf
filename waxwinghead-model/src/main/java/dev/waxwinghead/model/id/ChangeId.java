package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one change of configuration. A resend of the same change carries the same id.
 *
 * @param value the text of the id; letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record ChangeId(@JsonValue String value) implements Comparable<ChangeId> {
    /** Checks the text of the id. */
    public ChangeId {
        IdSyntax.check(value, "change id");
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
    public static ChangeId of(String value) {
        return new ChangeId(value);
    }

    @Override
    public int compareTo(ChangeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
