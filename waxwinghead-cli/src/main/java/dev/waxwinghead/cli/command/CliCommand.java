package dev.waxwinghead.cli.command;

import dev.waxwinghead.cli.output.CommandResult;
import dev.waxwinghead.cli.output.OutputFormat;

/**
 * Represents one command of the command line.
 *
 * @since 0.1
 */
public interface CliCommand {
    /**
     * Checks the arguments, carries out the command and returns its result.
     *
     * @param context the environment of the process, never null
     * @return the result, never null
     * @throws UsageException if the arguments are invalid
     * @throws dev.waxwinghead.model.error.WaxwingheadException if the command fails
     */
    CommandResult run(CommandContext context);

    /**
     * Returns the format in which to print the result.
     *
     * @return the format, never null; the default format if the option is invalid
     */
    OutputFormat format();
}
