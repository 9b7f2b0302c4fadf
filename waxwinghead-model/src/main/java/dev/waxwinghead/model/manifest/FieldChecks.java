package dev.waxwinghead.model.manifest;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/** Validates the fields of manifests. */
final class FieldChecks {
    private FieldChecks() {}

    static <T> T requirePresent(T value, String field) {
        if (value == null) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, field + " is missing", "give the field " + field);
        }
        return value;
    }

    static int requireInRange(int value, int min, int max, String field) {
        checkRange(value, min, max, field);
        return value;
    }

    static long requireInRange(long value, long min, long max, String field) {
        checkRange(value, min, max, field);
        return value;
    }

    static double requireInRange(double value, double min, double max, String field) {
        if (!(value >= min && value <= max)) {
            throw outOfRange(field, value, min, max);
        }
        return value;
    }

    private static void checkRange(long value, long min, long max, String field) {
        if (value < min || value > max) {
            throw outOfRange(field, value, min, max);
        }
    }

    private static WaxwingheadException outOfRange(String field, Object value, Object min, Object max) {
        return WaxwingheadException.of(
                ErrorKind.INVALID_INPUT, field + " is " + value, "give a value from " + min + " to " + max);
    }
}
