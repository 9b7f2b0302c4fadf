package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a job class.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record JobClassName(@JsonValue String value) implements Comparable<JobClassName> {
    /** Validates the text of the id. */
    public JobClassName {
        IdSyntax.check(value, "job class name");
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
    public static JobClassName of(String value) {
        return new JobClassName(value);
    }

    @Override
    public int compareTo(JobClassName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
