package dev.waxwinghead.model.label;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.List;
import java.util.Optional;

/**
 * Holds a condition on a label.
 *
 * @param key the label's key
 * @param operator the comparison
 * @param values the values to compare with, for {@code In} and {@code NotIn}; empty for the other operators
 * @since 0.1
 */
public record Requirement(String key, SelectorOperator operator, List<String> values) {
    /** Validates the condition and copies the values. */
    public Requirement {
        if (key == null || key.isEmpty()) {
            throw invalid("a selector requirement has no key", "give the key of the label to compare");
        }
        if (operator == null) {
            throw invalid("requirement on '" + key + "' has no operator", "use In, NotIn, Exists or DoesNotExist");
        }
        values = values == null ? List.of() : List.copyOf(values);
        boolean requiresValues = operator == SelectorOperator.IN || operator == SelectorOperator.NOT_IN;
        if (requiresValues == values.isEmpty()) {
            throw invalid(
                    "requirement on '" + key + "' has " + values.size() + " values for " + operator.text(),
                    requiresValues ? "give at least one value" : "omit the values");
        }
    }

    /**
     * Creates a condition.
     *
     * @param key the label's key
     * @param operator the comparison
     * @param values the values to compare with, for {@code In} and {@code NotIn}; none for the other operators
     * @return the condition, never null
     */
    public static Requirement of(String key, SelectorOperator operator, String... values) {
        return new Requirement(key, operator, List.of(values));
    }

    /**
     * Returns whether the labels meet the condition.
     *
     * @param labels the labels to compare
     * @return true if the labels meet the condition
     */
    public boolean matches(Labels labels) {
        Optional<String> value = labels.value(key);
        return switch (operator) {
            case IN -> value.isPresent() && values.contains(value.get());
            case NOT_IN -> value.isEmpty() || !values.contains(value.get());
            case EXISTS -> value.isPresent();
            case DOES_NOT_EXIST -> value.isEmpty();
        };
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
