package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Map;

/** Reads the settings of a task; the names are constants here. */
final class TaskSettings {
    /** How long a batch task runs in all, in milliseconds. */
    static final String RUN_MILLIS = "runMillis";

    /** How often a batch task saves a checkpoint, in milliseconds of its run; 0 for never. */
    static final String CHECKPOINT_MILLIS = "checkpointMillis";

    /** {@code always} or {@code once}: the task fails at its first step, in each attempt or in the first. */
    static final String FAIL = "fail";

    /** After how many milliseconds of its run a task fails. */
    static final String EXIT_AFTER = "exitAfter";

    /** How many milliseconds a stop takes. */
    static final String STOP_MILLIS = "stopMillis";

    /** The processor time that a task uses, in thousandths of a core; its declared size if absent. */
    static final String USED_MILLICORES = "usedMillicores";

    /** The memory that a task uses, in bytes; its declared size if absent. */
    static final String USED_MEMORY_BYTES = "usedMemoryBytes";

    /** The tail latency that a service's task aims at, in milliseconds; without it, no latency is reported. */
    static final String LATENCY_TARGET_MILLIS = "latencyTargetMillis";

    /** How many microseconds a running batch task adds to each request that its worker's upstreams serve. */
    static final String NOISE_MICROS = "noiseMicros";

    private final Map<String, String> values;

    private TaskSettings(Map<String, String> values) {
        this.values = values;
    }

    static TaskSettings of(Map<String, String> values) {
        return new TaskSettings(values);
    }

    String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    long number(String name, long absent) {
        String value = values.get(name);
        if (value == null) {
            return absent;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "setting " + name + " is '" + value + "'", "give a whole number", e);
        }
    }
}
