package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.util.Map;

/** Provides typed access to the settings of a task and defines their names. */
final class TaskSettings {
    /** Total run time of a batch task, in milliseconds. */
    static final String RUN_MILLIS = "runMillis";

    /** Run time between two checkpoints of a batch task, in milliseconds; 0 disables periodic checkpoints. */
    static final String CHECKPOINT_MILLIS = "checkpointMillis";

    /** Makes a task fail at its first step: {@code always} in every attempt, {@code once} in the first attempt only. */
    static final String FAIL = "fail";

    /** Run time after which a task fails, in milliseconds. */
    static final String EXIT_AFTER = "exitAfter";

    /** Duration of a stop, in milliseconds. */
    static final String STOP_MILLIS = "stopMillis";

    /** Processor time that a task reports as used, in thousandths of a core; the declared size if absent. */
    static final String USED_MILLICORES = "usedMillicores";

    /** Memory that a task reports as used, in bytes; the declared size if absent. */
    static final String USED_MEMORY_BYTES = "usedMemoryBytes";

    /** Target tail latency of a service, in milliseconds; no latency is reported if absent. */
    static final String LATENCY_TARGET_MILLIS = "latencyTargetMillis";

    /** Delay that a running batch task adds to each request to an upstream on the same worker, in microseconds. */
    static final String NOISE_MICROS = "noiseMicros";

    private final Map<String, String> values;

    private TaskSettings(Map<String, String> values) {
        this.values = values;
    }

    static TaskSettings of(Map<String, String> values) {
        return new TaskSettings(values);
    }

    String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    long number(String name, long defaultValue) {
        String value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "setting " + name + " is '" + value + "'", "give a whole number", e);
        }
    }
}
