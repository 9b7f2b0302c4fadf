package dev.waxwinghead.cli;

import dev.waxwinghead.cli.command.CommandContext;

/**
 * Entry point of {@code waxwinghead}.
 *
 * <p>The exit status is 0 for success, 2 for invalid arguments and otherwise that of the kind of error. {@code config
 * check} has exit statuses of its own.
 *
 * @since 0.1
 * @see dev.waxwinghead.model.error.ErrorKind#exitStatus
 */
public final class CliMain {
    private CliMain() {}

    /**
     * Runs one command and exits with its status.
     *
     * @param arguments the command and its arguments
     */
    public static void main(String[] arguments) {
        CommandLine commandLine = new CommandLine(System.out, System.err);
        int status = commandLine.run(arguments, new CommandContext(System.getenv(), System.in));
        System.out.flush();
        System.exit(status);
    }
}
