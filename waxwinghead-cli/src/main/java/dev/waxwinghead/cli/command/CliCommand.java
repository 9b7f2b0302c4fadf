package dev.waxwinghead.cli.command;

import dev.waxwinghead.cli.output.Answer;
import dev.waxwinghead.cli.output.OutputFormat;

/**
 * Runs one command.
 *
 * @since 0.1
 */
public interface CliCommand {
    /**
     * Checks the arguments, talks to an entry host and returns what to show.
     *
     * @param context the process's surroundings
     * @return the answer, never null
     * @throws UsageException if arguments are wrong
     * @throws dev.waxwinghead.model.error.WaxwingheadException if the command fails
     */
    Answer run(CommandContext context);

    /**
     * Returns the form in which to show the answer.
     *
     * @return the format, the default one if the option is wrong
     */
    OutputFormat format();
}
