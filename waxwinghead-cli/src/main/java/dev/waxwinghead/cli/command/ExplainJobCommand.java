package dev.waxwinghead.cli.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import dev.waxwinghead.cli.explain.JobHistory;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Shows the decisions about a job from collected logs, in order, followed by a summary.
 *
 * @since 0.2
 */
@Command(name = "job", description = "Shows the decisions on a job from collected logs, in order")
public final class ExplainJobCommand implements CliCommand {
    @AirlineModule
    OutputOptions output = new OutputOptions();

    @Arguments(
            title = "id-and-files",
            description = "The job's id, then log files of all hosts; standard input if none")
    List<String> arguments = new ArrayList<>();

    /** Creates the command. */
    public ExplainJobCommand() {}

    @Override
    public CommandResult run(CommandContext context) {
        List<String> problems = new ArrayList<>();
        ArgumentChecks.rejectOptions(arguments, problems);
        if (arguments.isEmpty()) {
            problems.add("explain job has no arguments; give the job's id");
        }
        output.validate(problems);
        if (!problems.isEmpty()) {
            throw new UsageException(problems);
        }
        String job = arguments.get(0);
        JobHistory history = JobHistory.of(job, lines(context));
        if (history.isEmpty()) {
            throw WaxwingheadException.of(
                    ErrorKind.NOT_FOUND,
                    "no log line mentions job " + job,
                    "collect the logs of all hosts for the time of the job");
        }
        return history.result();
    }

    private List<String> lines(CommandContext context) {
        try {
            if (arguments.size() == 1) {
                return read(context.input());
            }
            List<String> lines = new ArrayList<>();
            for (String file : arguments.subList(1, arguments.size())) {
                try (InputStream input = Files.newInputStream(Path.of(file))) {
                    lines.addAll(read(input));
                }
            }
            return lines;
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "could not read the logs: " + e.getMessage(),
                    "give readable files, or pass the lines on the standard input",
                    e);
        }
    }

    private static List<String> read(InputStream input) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
        List<String> lines = new ArrayList<>();
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            lines.add(line);
        }
        return lines;
    }

    @Override
    public OutputFormat format() {
        return output.format();
    }
}
