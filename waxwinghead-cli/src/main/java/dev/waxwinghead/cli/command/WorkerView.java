package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.cli.output.Table;

/** Shows workers with what they have and what is committed. */
final class WorkerView implements ResourceView {
    private static ArrayNode read(OperatorClient client, String name) {
        ArrayNode wanted = JsonNodeFactory.instance.arrayNode();
        for (JsonNode worker : client.get("/v1/workers").path("workers")) {
            if (name == null || worker.path("worker").asText().equals(name)) {
                wanted.add(worker);
            }
        }
        if (name != null && wanted.isEmpty()) {
            throw ResourceView.notFound("worker", name);
        }
        return wanted;
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
                    Text.value(worker, "dataCentre"),
                    Text.value(worker, "rack"),
                    Text.value(worker, "state"),
                    share(worker, "millicores"),
                    share(worker, "memoryBytes"),
                    share(worker, "accelerators"),
                    Text.age(worker, "lastHeardAgoMillis"),
                    Text.fields(worker.path("labels")));
        }
        return table.text();
    }

    private static String share(JsonNode worker, String resource) {
        return worker.path("committed").path(resource).asLong() + "/"
                + worker.path("capacity").path(resource).asLong();
    }

    @Override
    public Answer list(OperatorClient client, String name) {
        ArrayNode workers = read(client, name);
        return Answer.of(workers, table(workers));
    }

    @Override
    public Answer describe(OperatorClient client, String name) {
        ArrayNode workers = read(client, name);
        return Answer.of(workers.get(0), table(workers));
    }
}
