package dev.waxwinghead.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * Holds one structured log line.
 *
 * @param epochMillis when it was written, in wall-clock milliseconds of its host
 * @param event what happened
 * @param fields all fields but these two
 */
record LogLine(long epochMillis, String event, ObjectNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the line, empty for text that is no structured line, such as a crash report. */
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

    /** Tells whether the line is about a job: it names the job, or a call to its address. */
    boolean isAbout(String job) {
        return text("job").equals(job) || text("path").endsWith("/" + job);
    }

    /** Returns the fields as {@code name=value}, without the job. */
    String what() {
        StringJoiner what = new StringJoiner(" ");
        fields.properties().stream()
                .filter(field -> !field.getKey().equals("job"))
                .forEach(field ->
                        what.add(field.getKey() + "=" + field.getValue().asText()));
        return what.toString();
    }
}
