package dev.waxwinghead.cli.command;

import java.util.List;

/**
 * Reports all that is wrong with the arguments of a command.
 *
 * @since 0.1
 */
public final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The problems, each with its remedy. */
    private final List<String> problems;

    UsageException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return one line each, with the remedy
     */
    public List<String> problems() {
        return problems;
    }
}
