package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a configuration change. A resend of the same change has the same id.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record ChangeId(@JsonValue String value) implements Comparable<ChangeId> {
    /** Validates the text of the id. */
    public ChangeId {
        IdSyntax.check(value, "change id");
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
