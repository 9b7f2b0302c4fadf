package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.Table;
import java.util.List;

/** Shows data centres, whether they are drained, and the tasks that still run there. */
final class DataCentreView implements ResourceView {
    private static final String PATH = "/v1/data-centres";

    static String table(Iterable<JsonNode> dataCentres) {
        Table table = Table.of("DATA-CENTRE", "DRAINED", "INDEX", "SCHEDULER", "SERVICE-TASKS", "JOB-TASKS");
        for (JsonNode dataCentre : dataCentres) {
            table.row(
                    dataCentre.path("dataCentre").asText(),
                    dataCentre.path("drained").asBoolean() ? "yes" : "no",
                    JsonText.valueOrNull(dataCentre, "drainedAtIndex"),
                    JsonText.valueOrNull(dataCentre, "scheduler"),
                    JsonText.valueOrNull(dataCentre, "serviceTasks"),
                    JsonText.valueOrNull(dataCentre, "jobTasks"));
        }
        return table.text();
    }

    @Override
    public CommandResult list(OperatorClient client, String name) {
        ArrayNode matching = JsonNodeFactory.instance.arrayNode();
        for (JsonNode dataCentre : client.get(PATH).path("dataCentres")) {
            if (name == null || dataCentre.path("dataCentre").asText().equals(name)) {
                matching.add(dataCentre);
            }
        }
        if (name != null && matching.isEmpty()) {
            throw ResourceView.notFound("data-centre", name);
        }
        return CommandResult.of(matching, table(matching));
    }

    @Override
    public CommandResult describe(OperatorClient client, String name) {
        JsonNode answer = client.get(PATH + "/" + ResourceView.encode(name));
        return CommandResult.of(
                answer,
                table(List.of(answer.path("dataCentre"))) + "\nrunning there:\n"
                        + TaskView.table(answer.path("tasks")));
    }
}
