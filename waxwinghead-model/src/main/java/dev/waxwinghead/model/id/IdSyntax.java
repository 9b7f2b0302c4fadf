package dev.waxwinghead.model.id;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.regex.Pattern;

/** Validates the text of ids. */
final class IdSyntax {
    /** The length limit of an id, in characters. */
    static final int MAX_LENGTH = 200;

    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");
    private static final Pattern PATH = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

    private IdSyntax() {}

    static void check(String value, String argument) {
        check(value, argument, ID, "letters, digits, '.', '_', ':' and '-'");
    }

    static void checkPath(String value, String argument) {
        check(value, argument, PATH, "letters, digits, '.', '_', ':', '/' and '-'");
    }

    private static void check(String value, String argument, Pattern pattern, String allowed) {
        if (value == null) {
            throw invalid(argument + " is missing", "give the " + argument);
        }
        if (value.length() > MAX_LENGTH) {
            throw invalid(
                    argument + " has " + value.length() + " characters", "use at most " + MAX_LENGTH + " characters");
        }
        if (!pattern.matcher(value).matches()) {
            throw invalid(
                    argument + " '" + value + "' is malformed", "use " + allowed + ", with a letter or digit first");
        }
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
