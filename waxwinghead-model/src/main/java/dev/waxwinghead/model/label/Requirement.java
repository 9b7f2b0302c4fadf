package dev.waxwinghead.model.label;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.List;
import java.util.Optional;

/**
 * States one condition on one label.
 *
 * @param key the label's key
 * @param operator how the label is compared
 * @param values the values for {@code In} and {@code NotIn}; empty for the other operators
 * @since 0.1
 */
public record Requirement(String key, SelectorOperator operator, List<String> values) {
    /** Copies and checks the condition. */
    public Requirement {
        if (key == null || key.isEmpty()) {
            throw invalid("a selector requirement has no key", "name the label that it compares");
        }
        if (operator == null) {
            throw invalid("requirement on '" + key + "' has no operator", "use In, NotIn, Exists or DoesNotExist");
        }
        values = values == null ? List.of() : List.copyOf(values);
        boolean wantsValues = operator == SelectorOperator.IN || operator == SelectorOperator.NOT_IN;
        if (wantsValues == values.isEmpty()) {
            throw invalid(
                    "requirement on '" + key + "' has " + values.size() + " values for " + operator.text(),
                    wantsValues ? "give at least one value" : "leave the values out");
        }
    }

    /**
     * Returns the given condition.
     *
     * @param key the label's key
     * @param operator how the label is compared
     * @param values the values for {@code In} and {@code NotIn}
     * @return the condition, never null
     */
    public static Requirement of(String key, SelectorOperator operator, String... values) {
        return new Requirement(key, operator, List.of(values));
    }

    /**
     * Tells whether the labels meet the condition.
     *
     * @param labels the labels to compare
     * @return true if they do
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
