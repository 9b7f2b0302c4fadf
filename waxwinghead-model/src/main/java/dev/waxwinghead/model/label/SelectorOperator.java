package dev.waxwinghead.model.label;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Arrays;

/**
 * Lists the ways in which a requirement compares a label.
 *
 * @since 0.1
 */
public enum SelectorOperator {
    /** The label is set to one of the values. */
    IN("In"),
    /** The label is not set, or to none of the values. */
    NOT_IN("NotIn"),
    /** The label is set to anything. */
    EXISTS("Exists"),
    /** The label is not set. */
    DOES_NOT_EXIST("DoesNotExist");

    private final String text;

    SelectorOperator(String text) {
        this.text = text;
    }

    /**
     * Returns the operator's name in manifests.
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
     * @throws WaxwingheadException if there is no such operator
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
