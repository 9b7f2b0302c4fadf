package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.Table;
import java.util.ArrayList;
import java.util.List;

/** Shows tasks, for a waiting task also the reason. */
final class TaskView implements ResourceView {
    /** The maximum number of tasks in a table. */
    private static final int MAX_ROWS = 200;

    static ArrayNode read(OperatorClient client, String owner) {
        String query = owner == null ? "" : "?owner=" + ResourceView.encode(owner);
        JsonNode tasks = client.get("/v1/tasks" + query).path("tasks");
        return tasks.isArray() ? (ArrayNode) tasks : JsonNodeFactory.instance.arrayNode();
    }

    static String table(JsonNode tasks) {
        Table table = Table.of("TASK", "ATTEMPT", "STATE", "WORKER", "DATA-CENTRE", "CHECKPOINT", "REASON");
        for (JsonNode task : waitingFirst(tasks)) {
            table.row(
                    task.path("task").asText(),
                    JsonText.valueOrNull(task, "attempt"),
                    JsonText.valueOrNull(task, "state"),
                    JsonText.valueOrNull(task, "worker"),
                    JsonText.valueOrNull(task, "dataCentre"),
                    JsonText.valueOrNull(task, "checkpoint"),
                    JsonText.valueOrNull(task, "reason"));
        }
        int omitted = tasks.size() - MAX_ROWS;
        return table.text() + (omitted > 0 ? omitted + " more; see them with --output json\n" : "");
    }

    private static List<JsonNode> waitingFirst(JsonNode tasks) {
        List<JsonNode> rows = new ArrayList<>();
        tasks.forEach(rows::add);
        if (rows.size() > MAX_ROWS) {
            rows.sort((a, b) -> Boolean.compare(isWaiting(b), isWaiting(a)));
            return rows.subList(0, MAX_ROWS);
        }
        return rows;
    }

    private static boolean isWaiting(JsonNode task) {
        return task.path("state").asText().equals("waiting");
    }

    @Override
    public CommandResult list(OperatorClient client, String name) {
        if (name != null) {
            return describe(client, name);
        }
        ArrayNode tasks = read(client, null);
        return CommandResult.of(tasks, table(tasks));
    }

    @Override
    public CommandResult describe(OperatorClient client, String name) {
        ArrayNode matching = JsonNodeFactory.instance.arrayNode();
        int lastSlash = name.lastIndexOf('/');
        String owner = lastSlash > 0 ? name.substring(0, lastSlash) : null;
        for (JsonNode task : read(client, owner)) {
            if (task.path("task").asText().equals(name)) {
                matching.add(task);
            }
        }
        if (matching.isEmpty()) {
            throw ResourceView.notFound("task", name);
        }
        return CommandResult.of(matching.get(0), table(matching));
    }
}
