package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a batch job.
 *
 * @param value the text of the id; letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record JobName(@JsonValue String value) implements Comparable<JobName> {
    /** Checks the text of the id. */
    public JobName {
        IdSyntax.check(value, "job name");
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
