package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.Table;
import java.util.function.Predicate;

/** Shows the upstreams known to the entry host that answers. */
final class UpstreamView implements ResourceView {
    /** Returns the upstreams of a service. */
    static ArrayNode read(OperatorClient client, String service) {
        return read(client, upstream -> upstream.path("service").asText().equals(service));
    }

    private static ArrayNode read(OperatorClient client, Predicate<JsonNode> filter) {
        ArrayNode matching = JsonNodeFactory.instance.arrayNode();
        for (JsonNode upstream : client.get("/v1/upstreams").path("upstreams")) {
            if (filter.test(upstream)) {
                matching.add(upstream);
            }
        }
        return matching;
    }

    static String table(JsonNode upstreams) {
        Table table = Table.of("UPSTREAM", "SERVICE", "ADDRESS", "DATA-CENTRE", "STATE", "IN-FLIGHT");
        for (JsonNode upstream : upstreams) {
            table.row(
                    upstream.path("upstream").asText(),
                    JsonText.valueOrNull(upstream, "service"),
                    JsonText.valueOrNull(upstream, "address"),
                    JsonText.valueOrNull(upstream, "dataCentre"),
                    JsonText.valueOrNull(upstream, "state"),
                    JsonText.valueOrNull(upstream, "inFlight"));
        }
        return table.text();
    }

    @Override
    public CommandResult list(OperatorClient client, String name) {
        ArrayNode upstreams = read(
                client,
                upstream -> name == null || upstream.path("upstream").asText().equals(name));
        if (name != null && upstreams.isEmpty()) {
            throw ResourceView.notFound("upstream", name);
        }
        return CommandResult.of(upstreams, table(upstreams));
    }

    @Override
    public CommandResult describe(OperatorClient client, String name) {
        return list(client, name);
    }
}
