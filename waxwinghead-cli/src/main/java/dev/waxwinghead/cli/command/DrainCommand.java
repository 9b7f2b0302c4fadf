package dev.waxwinghead.cli.command;

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
import java.util.Set;

/**
 * Drains a worker, an upstream or an entry host.
 *
 * <p>An entry host is given by its operator port. The request goes to that entry host alone because an entry host can
 * only drain itself.
 *
 * @since 0.1
 */
@Command(name = "drain", description = "Lets a worker, an upstream or an entry host finish and gives it nothing new")
public final class DrainCommand implements CliCommand {
    private static final String HOST = "host";
    private static final Set<String> KINDS = Set.of("worker", "upstream", HOST);

    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @AirlineModule
    ChangeOptions change = new ChangeOptions();

    @Arguments(
            title = {"kind", "name"},
            description = "worker or upstream and its id, or host and its operator port as ip:port")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public DrainCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        ChangeId changeId = change.changeId(problems);
        if (arguments.size() != 2 || !KINDS.contains(arguments.get(0))) {
            problems.add("drain needs exactly one target; give 'worker ID', 'upstream ID' or 'host IP:PORT'");
            connection.client(context, problems);
        }
        String kind = arguments.get(0);
        String name = arguments.get(1);
        OperatorClient client = connection.client(context, problems, kind.equals(HOST) ? name : null);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("changeId", changeId.value());
        if (kind.equals(HOST)) {
            body.put(HOST, true);
        } else {
            body.put(kind, name);
        }
        return CommandResult.of(client.post("/v1/drain", body), kind + " " + name + " drains\n");
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
