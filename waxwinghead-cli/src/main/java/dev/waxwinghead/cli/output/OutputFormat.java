package dev.waxwinghead.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import dev.waxwinghead.model.manifest.Manifests;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Lists the forms in which answers are shown.
 *
 * @since 0.1
 */
public enum OutputFormat {
    /** Lines for a reader. */
    TABLE,
    /** JSON for a program. */
    JSON;

    /**
     * Returns the format with the given name.
     *
     * @param name {@code table} or {@code json}
     * @return the format, empty for another name
     */
    public static Optional<OutputFormat> ofName(String name) {
        return Arrays.stream(values())
                .filter(format -> format.name().toLowerCase(Locale.ROOT).equals(name))
                .findFirst();
    }

    /**
     * Shows an answer.
     *
     * @param answer the answer
     * @return lines that end with a line break, never null
     */
    public String show(Answer answer) {
        return this == JSON ? pretty(answer.json()) : answer.text();
    }

    private static String pretty(JsonNode value) {
        try {
            return Manifests.jsonMapper().writerWithDefaultPrettyPrinter().writeValueAsString(value) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can't be written", e);
        }
    }
}
