package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.cli.output.Table;
import java.util.function.Predicate;

/** Shows upstreams as the entry host that answers knows them. */
final class UpstreamView implements ResourceView {
    /** Returns the upstreams of a service. */
    static ArrayNode read(OperatorClient client, String service) {
        return read(client, upstream -> upstream.path("service").asText().equals(service));
    }

    private static ArrayNode read(OperatorClient client, Predicate<JsonNode> wanted) {
        ArrayNode found = JsonNodeFactory.instance.arrayNode();
        for (JsonNode upstream : client.get("/v1/upstreams").path("upstreams")) {
            if (wanted.test(upstream)) {
                found.add(upstream);
            }
        }
        return found;
    }

    static String table(JsonNode upstreams) {
        Table table = Table.of("UPSTREAM", "SERVICE", "ADDRESS", "DATA-CENTRE", "STATE", "IN-FLIGHT");
        for (JsonNode upstream : upstreams) {
            table.row(
                    upstream.path("upstream").asText(),
                    Text.value(upstream, "service"),
                    Text.value(upstream, "address"),
                    Text.value(upstream, "dataCentre"),
                    Text.value(upstream, "state"),
                    Text.value(upstream, "inFlight"));
        }
        return table.text();
    }

    @Override
    public Answer list(OperatorClient client, String name) {
        ArrayNode upstreams = read(
                client,
                upstream -> name == null || upstream.path("upstream").asText().equals(name));
        if (name != null && upstreams.isEmpty()) {
            throw ResourceView.notFound("upstream", name);
        }
        return Answer.of(upstreams, table(upstreams));
    }

    @Override
    public Answer describe(OperatorClient client, String name) {
        return list(client, name);
    }
}
