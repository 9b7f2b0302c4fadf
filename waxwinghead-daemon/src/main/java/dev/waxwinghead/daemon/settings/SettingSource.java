package dev.waxwinghead.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Reads settings from flags and environment variables and collects all problems found. */
final class SettingSource {
    private static final String VARIABLE_PREFIX = "WAXWINGHEAD_";

    private final Map<String, String> environment;
    private final List<String> problems = new ArrayList<>();

    SettingSource(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Returns the text of a setting: the value of the flag if present, otherwise that of the environment variable. */
    Optional<String> text(String flag, String flagValue) {
        if (flagValue != null) {
            return Optional.of(flagValue);
        }
        return Optional.ofNullable(environment.get(variable(flag)));
    }

    /**
     * Returns an optional setting. A text that the parser rejects is recorded as a problem and the setting is treated
     * as absent.
     */
    <T> Optional<T> optional(String flag, String flagValue, Function<String, T> parser) {
        return text(flag, flagValue).flatMap(text -> parse(flag, text, parser));
    }

    /** Returns a setting, or the parsed default if the setting is absent. */
    <T> T withDefault(String flag, String flagValue, String defaultText, Function<String, T> parser) {
        return optional(flag, flagValue, parser).orElseGet(() -> parser.apply(defaultText));
    }

    /** Returns a required setting; absence is recorded as a problem. */
    <T> Optional<T> required(String flag, String flagValue, Function<String, T> parser) {
        if (text(flag, flagValue).isEmpty()) {
            problems.add(flag + " is missing; give " + flag + " or set " + variable(flag));
            return Optional.empty();
        }
        return optional(flag, flagValue, parser);
    }

    void addProblem(String flag, String value, String fault, String remedy) {
        problems.add(flag + " is '" + value + "': " + fault + "; " + remedy);
    }

    void addProblem(String line) {
        problems.add(line);
    }

    void throwIfProblems() throws SettingsException {
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
    }

    private <T> Optional<T> parse(String flag, String text, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(text));
        } catch (RuntimeException e) {
            problems.add(flag + " is '" + text + "': " + e.getMessage());
            return Optional.empty();
        }
    }

    static String variable(String flag) {
        return VARIABLE_PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
    }
}
