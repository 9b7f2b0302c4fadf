package dev.waxwinghead.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.ParseResult;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.github.rvesse.airline.parser.errors.handlers.CollectAll;
import dev.waxwinghead.cli.command.ApplyCommand;
import dev.waxwinghead.cli.command.CancelCommand;
import dev.waxwinghead.cli.command.CliCommand;
import dev.waxwinghead.cli.command.CommandContext;
import dev.waxwinghead.cli.command.ConfigCheckCommand;
import dev.waxwinghead.cli.command.DeleteCommand;
import dev.waxwinghead.cli.command.DescribeCommand;
import dev.waxwinghead.cli.command.DrainCommand;
import dev.waxwinghead.cli.command.ExplainJobCommand;
import dev.waxwinghead.cli.command.GetCommand;
import dev.waxwinghead.cli.command.RemoveMemberCommand;
import dev.waxwinghead.cli.command.StatusCommand;
import dev.waxwinghead.cli.command.UndrainCommand;
import dev.waxwinghead.cli.command.UsageException;
import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Parses the arguments, runs the command that they name and prints its result or its errors. */
final class CommandLine {
    /** Exit status for invalid arguments. */
    static final int EXIT_USAGE = 2;

    private static final String PROGRAM = "waxwinghead";

    private final PrintStream output;
    private final PrintStream errors;

    CommandLine(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    int run(String[] arguments, CommandContext context) {
        List<String> words = Arrays.asList(arguments);
        if (words.isEmpty()
                || words.contains("--help")
                || words.contains("-h")
                || words.get(0).equals("help")) {
            return showHelp(words);
        }
        ParseResult<CliCommand> result = cli().parseWithResult(arguments);
        if (!result.wasSuccessful()) {
            return showUsage(result.getErrors().stream()
                    .map(ParseException::getMessage)
                    .map(message -> message + "; run '" + PROGRAM + " help' to see the commands and options")
                    .toList());
        }
        return run(result.getCommand(), context);
    }

    private int run(CliCommand command, CommandContext context) {
        try {
            CommandResult result = command.run(context);
            output.print(command.format().show(result));
            return result.exitStatus();
        } catch (UsageException e) {
            return showUsage(e.problems());
        } catch (WaxwingheadException e) {
            showFailure(e, command.format());
            return e.kind().exitStatus();
        } catch (RuntimeException e) {
            WaxwingheadException failure = WaxwingheadException.from(e);
            showFailure(failure, command.format());
            return failure.kind().exitStatus();
        }
    }

    private int showUsage(List<String> problems) {
        problems.forEach(problem -> errors.println(PROGRAM + ": " + problem));
        return EXIT_USAGE;
    }

    private void showFailure(WaxwingheadException failure, OutputFormat format) {
        errors.println(PROGRAM + ": " + failure.getMessage());
        if (format == OutputFormat.JSON) {
            ObjectNode body = JsonNodeFactory.instance.objectNode();
            body.put("error", failure.kind().code());
            body.put("message", failure.getMessage());
            body.put("remedy", failure.remedy());
            output.print(format.show(CommandResult.of(body, "")));
        }
    }

    private int showHelp(List<String> words) {
        List<String> names = words.stream()
                .filter(word -> !word.startsWith("-") && !word.equals("help"))
                .toList();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            Help.help(cli().getMetadata(), names, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        (words.isEmpty() ? errors : output).print(text.toString(StandardCharsets.UTF_8));
        return words.isEmpty() ? EXIT_USAGE : 0;
    }

    private static Cli<CliCommand> cli() {
        var builder = Cli.<CliCommand>builder(PROGRAM)
                .withDescription("Changes and shows what waxwinghead runs")
                .withCommand(ApplyCommand.class)
                .withCommand(GetCommand.class)
                .withCommand(DescribeCommand.class)
                .withCommand(DeleteCommand.class)
                .withCommand(StatusCommand.class)
                .withCommand(DrainCommand.class)
                .withCommand(UndrainCommand.class)
                .withCommand(CancelCommand.class);
        builder.withGroup("members")
                .withDescription("Changes the group of entry hosts that vote")
                .withCommand(RemoveMemberCommand.class);
        builder.withGroup("config")
                .withDescription("Checks manifests without applying them")
                .withCommand(ConfigCheckCommand.class);
        builder.withGroup("explain")
                .withDescription("Explains what happened from collected logs")
                .withCommand(ExplainJobCommand.class);
        builder.withParser().withErrorHandler(new CollectAll());
        return builder.build();
    }
}
