package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a data centre.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record DataCentreId(@JsonValue String value) implements Comparable<DataCentreId> {
    /** Validates the text of the id. */
    public DataCentreId {
        IdSyntax.check(value, "data centre id");
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
    public static DataCentreId of(String value) {
        return new DataCentreId(value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
