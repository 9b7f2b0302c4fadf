package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Lists the states of a task that a worker reports. */
enum TaskPhase {
    STARTING,
    RUNNING,
    /** It runs, and was told to save a checkpoint, which it has done. */
    CHECKPOINTED,
    COMPLETED,
    FAILED,
    STOPPED;

    @JsonValue
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    boolean ended() {
        return this == COMPLETED || this == FAILED || this == STOPPED;
    }
}
