package dev.waxwinghead.cli.output;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Represents the result of a command in both output formats.
 *
 * @param json the result as JSON, never null
 * @param text the result as plain text, never null
 * @param exitStatus the exit status of the process
 * @since 0.1
 */
public record CommandResult(JsonNode json, String text, int exitStatus) {
    /**
     * Creates a result with exit status 0.
     *
     * @param json the result as JSON, never null
     * @param text the result as plain text, never null
     * @return the result, never null
     */
    public static CommandResult of(JsonNode json, String text) {
        return new CommandResult(json, text, 0);
    }

    /**
     * Creates a result with an exit status.
     *
     * @param json the result as JSON, never null
     * @param text the result as plain text, never null
     * @param exitStatus the exit status of the process
     * @return the result, never null
     */
    public static CommandResult of(JsonNode json, String text, int exitStatus) {
        return new CommandResult(json, text, exitStatus);
    }
}
