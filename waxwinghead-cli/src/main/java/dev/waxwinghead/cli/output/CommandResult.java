package dev.waxwinghead.cli.output;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Represents the result of a command in both output formats.
 *
 * @param json the result as JSON, never null
 * @param text the result as plain text, never null
 * @since 0.1
 */
public record CommandResult(JsonNode json, String text) {
    /**
     * Creates a result.
     *
     * @param json the result as JSON, never null
     * @param text the result as plain text, never null
     * @return the result, never null
     */
    public static CommandResult of(JsonNode json, String text) {
        return new CommandResult(json, text);
    }
}
