package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.Table;

/** Shows workers with their capacity and the part of it that is committed to tasks. */
final class WorkerView implements ResourceView {
    private static ArrayNode read(OperatorClient client, String name) {
        ArrayNode matching = JsonNodeFactory.instance.arrayNode();
        for (JsonNode worker : client.get("/v1/workers").path("workers")) {
            if (name == null || worker.path("worker").asText().equals(name)) {
                matching.add(worker);
            }
        }
        if (name != null && matching.isEmpty()) {
            throw ResourceView.notFound("worker", name);
        }
        return matching;
    }

    private static String table(ArrayNode workers) {
        Table table = Table.of(
                "WORKER",
                "DATA-CENTRE",
                "RACK",
                "STATE",
                "MILLICORES",
                "MEMORY-BYTES",
                "ACCELERATORS",
                "HEARD",
                "LABELS");
        for (JsonNode worker : workers) {
            table.row(
                    worker.path("worker").asText(),
                    JsonText.valueOrNull(worker, "dataCentre"),
                    JsonText.valueOrNull(worker, "rack"),
                    JsonText.valueOrNull(worker, "state"),
                    committedOfCapacity(worker, "millicores"),
                    committedOfCapacity(worker, "memoryBytes"),
                    committedOfCapacity(worker, "accelerators"),
                    JsonText.ageInSeconds(worker, "lastHeardAgoMillis"),
                    JsonText.keyValuePairs(worker.path("labels")));
        }
        return table.text();
    }

    private static String committedOfCapacity(JsonNode worker, String resource) {
        return worker.path("committed").path(resource).asLong() + "/"
                + worker.path("capacity").path(resource).asLong();
    }

    @Override
    public CommandResult list(OperatorClient client, String name) {
        ArrayNode workers = read(client, name);
        return CommandResult.of(workers, table(workers));
    }

    @Override
    public CommandResult describe(OperatorClient client, String name) {
        ArrayNode workers = read(client, name);
        return CommandResult.of(workers.get(0), table(workers));
    }
}
