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
 * Lists the resources of one kind.
 *
 * @since 0.1
 */
@Command(name = "get", description = "Lists services, jobs, other manifests, workers, upstreams, tasks or data centres")
public final class GetCommand implements CliCommand {
    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @Option(name = "--stale", description = "Take the answer of an entry host that reaches no majority")
    boolean stale;

    @Arguments(
            title = {"kind", "name"},
            description = "service, job, quota, tenant, trafficclass, objective, worker, upstream, task or "
                    + "data-centre; and a name")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public GetCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        if (arguments.isEmpty() || arguments.size() > 2) {
            problems.add("get has " + arguments.size() + " arguments; give a kind and at most one name");
        }
        ResourceView view = arguments.isEmpty() ? null : ResourceView.of(arguments.get(0), stale, problems);
        OperatorClient client = connection.client(context, problems);
        return view.list(client, arguments.size() > 1 ? arguments.get(1) : null);
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
