package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.model.id.ChangeId;
import java.util.List;

/** Builds the request body of a configuration change and formats the response. */
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

    static CommandResult result(JsonNode response, ChangeId changeId, String verb, List<String> keys) {
        ObjectNode json = response.deepCopy();
        json.put("changeId", changeId.value());
        StringBuilder text = new StringBuilder();
        keys.forEach(key -> text.append(key).append(' ').append(verb).append('\n'));
        text.append("revision ").append(response.path("revision").asText());
        text.append(", change ").append(changeId);
        text.append(response.path("replayed").asBoolean() ? ", accepted earlier\n" : "\n");
        return CommandResult.of(json, text.toString());
    }
}
