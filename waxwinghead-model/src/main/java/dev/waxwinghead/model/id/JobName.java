package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a batch job.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record JobName(@JsonValue String value) implements Comparable<JobName> {
    /** Validates the text of the id. */
    public JobName {
        IdSyntax.check(value, "job name");
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
    public static JobName of(String value) {
        return new JobName(value);
    }

    @Override
    public int compareTo(JobName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
