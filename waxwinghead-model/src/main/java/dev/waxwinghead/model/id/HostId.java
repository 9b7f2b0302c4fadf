package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry host.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Validates the text of the id. */
    public HostId {
        IdSyntax.check(value, "entry host id");
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
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
