package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.cli.output.Table;
import java.util.ArrayList;
import java.util.List;

/** Shows tasks; of one that waits, the reason. */
final class TaskView implements ResourceView {
    /** The most tasks that a table shows. */
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
                    Text.value(task, "attempt"),
                    Text.value(task, "state"),
                    Text.value(task, "worker"),
                    Text.value(task, "dataCentre"),
                    Text.value(task, "checkpoint"),
                    Text.value(task, "reason"));
        }
        int hidden = tasks.size() - MAX_ROWS;
        return table.text() + (hidden > 0 ? hidden + " more; see them with --output json\n" : "");
    }

    private static List<JsonNode> waitingFirst(JsonNode tasks) {
        List<JsonNode> rows = new ArrayList<>();
        tasks.forEach(rows::add);
        if (rows.size() > MAX_ROWS) {
            rows.sort((a, b) -> Boolean.compare(waits(b), waits(a)));
            return rows.subList(0, MAX_ROWS);
        }
        return rows;
    }

    private static boolean waits(JsonNode task) {
        return task.path("state").asText().equals("waiting");
    }

    @Override
    public Answer list(OperatorClient client, String name) {
        if (name != null) {
            return describe(client, name);
        }
        ArrayNode tasks = read(client, null);
        return Answer.of(tasks, table(tasks));
    }

    @Override
    public Answer describe(OperatorClient client, String name) {
        ArrayNode found = JsonNodeFactory.instance.arrayNode();
        int lastSlash = name.lastIndexOf('/');
        String owner = lastSlash > 0 ? name.substring(0, lastSlash) : null;
        for (JsonNode task : read(client, owner)) {
            if (task.path("task").asText().equals(name)) {
                found.add(task);
            }
        }
        if (found.isEmpty()) {
            throw ResourceView.notFound("task", name);
        }
        return Answer.of(found.get(0), table(found));
    }
}
