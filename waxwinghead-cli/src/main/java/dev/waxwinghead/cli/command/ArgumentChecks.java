package dev.waxwinghead.cli.command;

import java.util.List;

/** Provides argument checks that several commands share. */
final class ArgumentChecks {
    private ArgumentChecks() {}

    /** Adds a problem for each argument that looks like an option: the parser passes unknown options on as names. */
    static void rejectOptions(List<String> arguments, List<String> problems) {
        arguments.stream()
                .filter(argument -> argument.startsWith("-"))
                .forEach(argument ->
                        problems.add("option '" + argument + "' is unknown; add --help to see the command's options"));
    }
}
