package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.id.ChangeId;
import java.util.ArrayList;
import java.util.List;

/**
 * Reverts the drain of a data centre.
 *
 * @since 0.2
 */
@Command(name = "undrain", description = "Lets tasks start again in a drained data centre")
public final class UndrainCommand implements CliCommand {
    private static final String DATA_CENTRE = "data-centre";

    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @AirlineModule
    ChangeOptions change = new ChangeOptions();

    @Arguments(
            title = {"kind", "name"},
            description = "data-centre and its id")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public UndrainCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        ChangeId changeId = change.changeId(problems);
        if (arguments.size() != 2 || !arguments.get(0).equals(DATA_CENTRE)) {
            problems.add("undrain needs exactly one target; give 'data-centre ID'");
        }
        OperatorClient client = connection.client(context, problems);
        String name = arguments.get(1);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("changeId", changeId.value());
        body.put("dataCentre", name);
        JsonNode answer = client.post("/v1/undrain", body);
        return CommandResult.of(
                answer,
                DATA_CENTRE + " " + name + " is not drained, index "
                        + answer.path("index").asText() + ", change " + changeId + "\n");
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
