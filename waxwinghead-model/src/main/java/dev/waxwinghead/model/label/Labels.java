package dev.waxwinghead.model.label;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the labels of a worker, service or job, sorted by key.
 *
 * @param values the values by key; keys are not empty, values may be
 * @since 0.1
 */
public record Labels(@JsonValue Map<String, String> values) {
    /** No labels. */
    public static final Labels NONE = new Labels(Map.of());

    /** The length limit of a key or value, in characters. */
    public static final int MAX_LENGTH = 200;

    /** Copies and validates the labels. */
    public Labels {
        values.forEach(Labels::check);
        values = java.util.Collections.unmodifiableMap(new TreeMap<>(values));
    }

    /**
     * Returns the given labels.
     *
     * @param values the labels; null means none
     * @return the labels, never null
     * @throws WaxwingheadException if a key is empty, a value is null, or a key or value is too long
     */
    @JsonCreator
    public static Labels of(Map<String, String> values) {
        return values == null ? NONE : new Labels(values);
    }

    /**
     * Returns the value of a label.
     *
     * @param key the label's key
     * @return the value, empty if the label is not set
     */
    public Optional<String> value(String key) {
        return Optional.ofNullable(values.get(key));
    }

    private static void check(String key, String value) {
        if (key.isEmpty() || key.length() > MAX_LENGTH || value == null || value.length() > MAX_LENGTH) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "label '" + key + "' is malformed",
                    "give a key of 1 to " + MAX_LENGTH + " characters and a value of at most " + MAX_LENGTH);
        }
    }
}
