package dev.waxwinghead.model.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a class of requests that share limits and a latency target.
 *
 * @param value the text of the id, made of letters, digits, {@code .}, {@code _}, {@code :} and {@code -}
 * @since 0.1
 */
public record TrafficClass(@JsonValue String value) implements Comparable<TrafficClass> {
    /** Validates the text of the id. */
    public TrafficClass {
        IdSyntax.check(value, "traffic class");
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
    public static TrafficClass of(String value) {
        return new TrafficClass(value);
    }

    @Override
    public int compareTo(TrafficClass other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
