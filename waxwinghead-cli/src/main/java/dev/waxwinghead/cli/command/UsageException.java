package dev.waxwinghead.cli.command;

import java.util.List;

/**
 * Thrown when the arguments of a command are invalid; lists every problem found.
 *
 * @since 0.1
 */
public final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final List<String> problems;

    UsageException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems found.
     *
     * @return one line for each problem, with its remedy; never null
     */
    public List<String> problems() {
        return problems;
    }
}
