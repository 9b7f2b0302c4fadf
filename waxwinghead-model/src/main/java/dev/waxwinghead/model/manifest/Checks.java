package dev.waxwinghead.model.manifest;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/** Checks the fields of manifests. */
final class Checks {
    private Checks() {}

    static <T> T present(T value, String field) {
        if (value == null) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, field + " is missing", "give the field " + field);
        }
        return value;
    }

    static int range(int value, int least, int most, String field) {
        checkRange(value, least, most, field);
        return value;
    }

    static long range(long value, long least, long most, String field) {
        checkRange(value, least, most, field);
        return value;
    }

    static double range(double value, double least, double most, String field) {
        if (!(value >= least && value <= most)) {
            throw outOfRange(field, value, least, most);
        }
        return value;
    }

    private static void checkRange(long value, long least, long most, String field) {
        if (value < least || value > most) {
            throw outOfRange(field, value, least, most);
        }
    }

    private static WaxwingheadException outOfRange(String field, Object value, Object least, Object most) {
        return WaxwingheadException.of(
                ErrorKind.INVALID_INPUT, field + " is " + value, "give a value from " + least + " to " + most);
    }
}
