package dev.waxwinghead.cli.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import dev.waxwinghead.cli.client.OperatorClient;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import java.util.ArrayList;
import java.util.List;

/**
 * Shows everything known about one resource, including the state of a job and why each waiting task waits.
 *
 * @since 0.1
 */
@Command(name = "describe", description = "Shows all about one thing: manifest, state, tasks and why they wait")
public final class DescribeCommand implements CliCommand {
    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @Option(name = "--stale", description = "Take the answer of an entry host that reaches no majority")
    boolean stale;

    @Arguments(
            title = {"kind", "name"},
            description = "The kind, as for get, and the name")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public DescribeCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        if (arguments.size() != 2) {
            problems.add("describe has " + arguments.size() + " arguments; give a kind and a name");
        }
        ResourceView view = arguments.isEmpty() ? null : ResourceView.of(arguments.get(0), stale, problems);
        OperatorClient client = connection.client(context, problems);
        return view.describe(client, arguments.get(1));
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
