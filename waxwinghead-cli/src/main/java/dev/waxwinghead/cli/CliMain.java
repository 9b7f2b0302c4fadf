package dev.waxwinghead.cli;

import dev.waxwinghead.cli.command.CommandContext;

/**
 * Runs {@code waxwinghead}.
 *
 * <p>Exit status 0 for success, 2 for wrong arguments, else that of the error's kind.
 *
 * @since 0.1
 * @see dev.waxwinghead.model.error.ErrorKind#exitStatus
 */
public final class CliMain {
    private CliMain() {}

    /**
     * Runs one command and ends the process with its status.
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
