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

/**
 * Cancels jobs: waiting tasks are never started, and running tasks are stopped.
 *
 * @since 0.1
 */
@Command(name = "cancel", description = "Cancels jobs: what waits never starts, what runs is stopped")
public final class CancelCommand implements CliCommand {
    @AirlineModule
    ConnectionOptions connection = new ConnectionOptions();

    @AirlineModule
    ChangeOptions change = new ChangeOptions();

    @Arguments(title = "job", description = "The names of one or more jobs")
    List<String> jobs = new ArrayList<>();

    /** Creates the command. */
    public CancelCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(jobs, problems);
        ChangeId changeId = change.changeId(problems);
        if (jobs.isEmpty()) {
            problems.add("cancel has no arguments; give the names of one or more jobs");
        }
        OperatorClient client = connection.client(context, problems);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("changeId", changeId.value());
        jobs.forEach(body.putArray("jobs")::add);
        StringBuilder text = new StringBuilder();
        jobs.forEach(job -> text.append("Job/").append(job).append(" cancelled\n"));
        return CommandResult.of(client.post("/v1/cancel", body), text.toString());
    }

    @Override
    public OutputFormat format() {
        return connection.format();
    }
}
