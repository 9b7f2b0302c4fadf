package dev.waxwinghead.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * Represents one structured log line.
 *
 * @param epochMillis the time of writing on the wall clock of the host, in milliseconds since the epoch
 * @param event the event name
 * @param fields all fields except time and event name
 */
record LogLine(long epochMillis, String event, ObjectNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the parsed line, empty if the text is no structured line, such as part of a crash report. */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            if (!(node instanceof ObjectNode fields) || !node.path("at").isNumber() || !node.has("event")) {
                return Optional.empty();
            }
            long at = fields.remove("at").longValue();
            String event = fields.remove("event").asText();
            return Optional.of(new LogLine(at, event, fields));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    String text(String field) {
        return fields.path(field).asText();
    }

    /** Returns whether the line is about a job: its job field or the end of its path is the id of the job. */
    boolean isAbout(String job) {
        return text("job").equals(job) || text("path").endsWith("/" + job);
    }

    /** Returns the fields as {@code name=value} pairs, without the job field. */
    String fieldPairs() {
        StringJoiner pairs = new StringJoiner(" ");
        fields.properties().stream()
                .filter(field -> !field.getKey().equals("job"))
                .forEach(field ->
                        pairs.add(field.getKey() + "=" + field.getValue().asText()));
        return pairs.toString();
    }
}
