package dev.waxwinghead.daemon.settings;

import java.util.List;

/** Thrown if settings are invalid; reports all problems at once. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The problems, each naming the setting, the value and the remedy. */
    private final List<String> problems;

    SettingsException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return a line for each problem, which names the setting, the value and the remedy; never null
     */
    public List<String> problems() {
        return problems;
    }
}
