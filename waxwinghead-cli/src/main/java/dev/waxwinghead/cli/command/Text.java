package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.StringJoiner;

/** Shows parts of JSON answers as text. */
final class Text {
    private Text() {}

    /** Returns the fields of an object as {@code key=value,key=value}, a dash for none. */
    static String fields(JsonNode object) {
        StringJoiner text = new StringJoiner(",");
        text.setEmptyValue("-");
        object.properties()
                .forEach(field ->
                        text.add(field.getKey() + "=" + field.getValue().asText()));
        return text.toString();
    }

    /** Returns a value's text, null for an absent one. */
    static String value(JsonNode object, String field) {
        JsonNode value = object.path(field);
        return value.isMissingNode() || value.isNull() ? null : value.asText();
    }

    /** Returns an age in milliseconds as seconds. */
    static String age(JsonNode object, String field) {
        JsonNode value = object.path(field);
        return value.isNumber() ? value.asLong() / 1000 + "." + value.asLong() % 1000 / 100 + "s ago" : null;
    }
}
