package dev.waxwinghead.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Enumerates the formats in which the results of commands are printed.
 *
 * @since 0.1
 */
public enum OutputFormat {
    /** Plain text for people. */
    TABLE,
    /** JSON for programs. */
    JSON;

    /**
     * Returns the format with the given name.
     *
     * @param name {@code table} or {@code json}
     * @return the format, empty if there is none of this name
     */
    public static Optional<OutputFormat> ofName(String name) {
        return Arrays.stream(values())
                .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    /**
     * Formats a result.
     *
     * @param result the result, never null
     * @return lines that end with a line break, never null
     */
    public String show(CommandResult result) {
        return this == JSON ? pretty(result.json()) : result.text();
    }

    private static String pretty(JsonNode value) {
        try {
            return Manifests.jsonMapper().writerWithDefaultPrettyPrinter().writeValueAsString(value) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialise a JSON tree", e);
        }
    }
}
