package dev.waxwinghead.cli.command;

import java.util.List;

/** Checks what commands share about their arguments. */
final class ArgumentChecks {
    private ArgumentChecks() {}

    /** Adds a problem for each argument that looks like an option, since the parser takes unknown ones for names. */
    static void noOptions(List<String> arguments, List<String> problems) {
        arguments.stream()
                .filter(argument -> argument.startsWith("-"))
                .forEach(argument ->
                        problems.add("option '" + argument + "' is unknown; add --help to see the command's options"));
    }
}
