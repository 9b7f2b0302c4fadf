package dev.waxwinghead.model.label;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Arrays;

/**
 * Enumerates the comparisons of a {@link Requirement}.
 *
 * @since 0.1
 */
public enum SelectorOperator {
    /** The label is set, and its value is one of the given values. */
    IN("In"),
    /** The label is not set, or its value is none of the given values. */
    NOT_IN("NotIn"),
    /** The label is set to any value. */
    EXISTS("Exists"),
    /** The label is not set. */
    DOES_NOT_EXIST("DoesNotExist");

    private final String text;

    SelectorOperator(String text) {
        this.text = text;
    }

    /**
     * Returns the name of the operator in manifests.
     *
     * @return the name, never null
     */
    @JsonValue
    public String text() {
        return text;
    }

    /**
     * Returns the operator with the given name.
     *
     * @param text the name in manifests
     * @return the operator, never null
     * @throws WaxwingheadException if no operator has the name
     */
    @JsonCreator
    public static SelectorOperator ofText(String text) {
        return Arrays.stream(values())
                .filter(operator -> operator.text.equals(text))
                .findFirst()
                .orElseThrow(() -> WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "selector operator '" + text + "' is unknown",
                        "use In, NotIn, Exists or DoesNotExist"));
    }
}
