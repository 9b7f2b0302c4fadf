package dev.waxwinghead.testkit;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.ParseResult;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.github.rvesse.airline.parser.errors.handlers.CollectAll;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.testkit.load.LoadCommand;
import dev.waxwinghead.testkit.relay.RelayCommand;
import dev.waxwinghead.testkit.worker.WorkerCommand;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * Entry point of the programs for tests and demonstrations: {@code worker}, {@code load} and {@code relay}.
 *
 * @since 0.1
 */
public final class TestkitMain {
    private static final int USAGE_STATUS = 2;

    private TestkitMain() {}

    /**
     * Runs the program that the first argument names. Usage errors exit with status 2.
     *
     * @param arguments the name of the program and its options
     */
    public static void main(String[] arguments) {
        int status = run(arguments);
        if (status != 0) {
            System.exit(status);
        }
    }

    private static int run(String[] arguments) {
        if (arguments.length == 0 || Arrays.asList(arguments).contains("--help")) {
            return showHelp(arguments);
        }
        ParseResult<Callable<Integer>> result = cli().parseWithResult(arguments);
        if (!result.wasSuccessful()) {
            for (ParseException error : result.getErrors()) {
                System.err.println(error.getMessage() + "; see --help");
            }
            return USAGE_STATUS;
        }
        try {
            return result.getCommand().call();
        } catch (WaxwingheadException e) {
            System.err.println(e.getMessage());
            return e.kind().exitStatus();
        } catch (Exception e) {
            e.printStackTrace();
            return 1;
        }
    }

    private static int showHelp(String[] arguments) {
        List<String> names =
                Arrays.stream(arguments).filter(name -> !name.startsWith("-")).toList();
        try {
            Help.help(cli().getMetadata(), names);
            return arguments.length == 0 ? USAGE_STATUS : 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @SuppressWarnings("unchecked")
    private static Cli<Callable<Integer>> cli() {
        return Cli.<Callable<Integer>>builder("waxwinghead-testkit")
                .withDescription("Programs for tests and demonstrations of waxwinghead")
                .withCommands(WorkerCommand.class, LoadCommand.class, RelayCommand.class)
                .withParser()
                .withErrorHandler(new CollectAll())
                .parent()
                .build();
    }
}
