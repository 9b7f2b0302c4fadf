package dev.waxwinghead.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import java.util.ArrayList;
import java.util.List;

/**
 * Removes the replica of an entry host from the group permanently.
 *
 * @since 0.1
 */
@Command(name = "remove", description = "Removes an entry host's replica from the group; it never votes again")
public final class RemoveMemberCommand implements CliCommand {
    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @Arguments(title = "host", description = "The id of the entry host, as 'status' shows it")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public RemoveMemberCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        if (arguments.size() != 1) {
            problems.add("members remove has " + arguments.size() + " arguments; give the id of one entry host");
        }
        OperatorClient client = connection.client(context, problems);
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("host", arguments.get(0));
        return CommandResult.of(client.post("/v1/members/remove", body), "host " + arguments.get(0) + " removed\n");
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
