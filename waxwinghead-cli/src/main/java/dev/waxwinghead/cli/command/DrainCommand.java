package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.cli.output.Table;
import dev.waxwinghead.model.id.ChangeId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Drains a worker, an upstream, a data centre or an entry host.
 *
 * <p>An entry host is given by its operator port. The request goes to that entry host alone because an entry host can
 * only drain itself.
 *
 * @since 0.1
 */
@Command(
        name = "drain",
        description = "Lets a worker, an upstream, a data centre or an entry host finish and gives it nothing new")
public final class DrainCommand implements CliCommand {
    private static final String HOST = "host";
    private static final String DATA_CENTRE = "data-centre";
    private static final Set<String> KINDS = Set.of("worker", "upstream", DATA_CENTRE, HOST);

    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @AirlineModule
    ChangeOptions change = new ChangeOptions();

    @Option(
            name = "--dry-run",
            description = "Only tells whether the tasks of services in a data centre fit elsewhere; drains nothing")
    boolean dryRun;

    @Arguments(
            title = {"kind", "name"},
            description = "worker, upstream or data-centre and its id, or host and its operator port as ip:port")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public DrainCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        ChangeId changeId = change.changeId(problems);
        if (arguments.size() != 2 || !KINDS.contains(arguments.get(0))) {
            problems.add("drain needs exactly one target; give 'worker ID', 'upstream ID', "
                    + "'data-centre ID' or 'host IP:PORT'");
            connection.client(context, problems);
        }
        String kind = arguments.get(0);
        String name = arguments.get(1);
        if (dryRun && !kind.equals(DATA_CENTRE)) {
            problems.add("--dry-run is only known for a data centre; leave it out for a " + kind);
        }
        OperatorClient client = connection.client(context, problems, kind.equals(HOST) ? name : null);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("changeId", changeId.value());
        switch (kind) {
            case HOST -> body.put(HOST, true);
            case DATA_CENTRE -> body.put("dataCentre", name);
            default -> body.put(kind, name);
        }
        if (dryRun) {
            body.put("dryRun", true);
            JsonNode forecast = client.post("/v1/drain", body);
            return CommandResult.of(forecast, describe(forecast));
        }
        JsonNode answer = client.post("/v1/drain", body);
        String index =
                kind.equals(DATA_CENTRE) ? ", index " + answer.path("index").asText() + ", change " + changeId : "";
        return CommandResult.of(answer, kind + " " + name + " drains" + index + "\n");
    }

    private static String describe(JsonNode forecast) {
        StringBuilder text = new StringBuilder();
        text.append("data-centre ").append(forecast.path("dataCentre").asText());
        text.append(forecast.path("drained").asBoolean() ? " is drained already\n" : " is not drained\n");
        text.append("tasks of services fit elsewhere: ");
        text.append(forecast.path("fits").asBoolean() ? "yes" : "no").append('\n');
        text.append("tasks of jobs that run to completion: ")
                .append(forecast.path("jobTasks").asText())
                .append('\n');
        if (!forecast.path("services").isEmpty()) {
            Table table = Table.of("SERVICE", "TASKS", "FIT-ELSEWHERE");
            for (JsonNode service : forecast.path("services")) {
                table.row(
                        service.path("service").asText(),
                        service.path("tasks").asText(),
                        service.path("fitElsewhere").asText());
            }
            text.append('\n').append(table.text());
        }
        return text.toString();
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
