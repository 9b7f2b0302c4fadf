package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.model.id.ChangeId;
import java.util.List;

/** Builds the body of a change of configuration and shows its answer. */
final class ChangeBody {
    static final String PATH = "/v1/changes";

    private ChangeBody() {}

    static ObjectNode of(ChangeId changeId, Long expectedRevision, String manifests, List<String> delete) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("changeId", changeId.value());
        body.put("expectedRevision", expectedRevision);
        body.put("manifests", manifests);
        delete.forEach(body.putArray("delete")::add);
        return body;
    }

    static Answer answer(JsonNode accepted, ChangeId changeId, String verb, List<String> keys) {
        ObjectNode json = accepted.deepCopy();
        json.put("changeId", changeId.value());
        StringBuilder text = new StringBuilder();
        keys.forEach(key -> text.append(key).append(' ').append(verb).append('\n'));
        text.append("revision ").append(accepted.path("revision").asText());
        text.append(", change ").append(changeId);
        text.append(accepted.path("replayed").asBoolean() ? ", accepted earlier\n" : "\n");
        return Answer.of(json, text.toString());
    }
}
