package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.StringJoiner;

/** Formats parts of JSON responses as text. */
final class JsonText {
    private JsonText() {}

    /** Returns the fields of an object as {@code key=value,key=value}, a dash if there are none. */
    static String keyValuePairs(JsonNode object) {
        StringJoiner text = new StringJoiner(",");
        text.setEmptyValue("-");
        object.properties()
                .forEach(field ->
                        text.add(field.getKey() + "=" + field.getValue().asText()));
        return text.toString();
    }

    /** Returns the text of a field, null if the field is absent or null. */
    static String valueOrNull(JsonNode object, String field) {
        JsonNode value = object.path(field);
        return value.isMissingNode() || value.isNull() ? null : value.asText();
    }

    /** Returns a field with an age in milliseconds as seconds, null if the field is no number. */
    static String ageInSeconds(JsonNode object, String field) {
        JsonNode value = object.path(field);
        return value.isNumber() ? value.asLong() / 1000 + "." + value.asLong() % 1000 / 100 + "s ago" : null;
    }
}
