package dev.waxwinghead.cli.output;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds the answer of a command in both forms.
 *
 * @param json the answer as JSON
 * @param text the answer as lines for a reader
 * @since 0.1
 */
public record Answer(JsonNode json, String text) {
    /**
     * Returns an answer.
     *
     * @param json the answer as JSON
     * @param text the answer as lines for a reader
     * @return the answer, never null
     */
    public static Answer of(JsonNode json, String text) {
        return new Answer(json, text);
    }
}
