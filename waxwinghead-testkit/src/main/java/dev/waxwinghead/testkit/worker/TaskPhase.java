package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Enumerates the states of a task that a worker reports. */
enum TaskPhase {
    STARTING,
    RUNNING,
    /** Running, after a checkpoint that the scheduler requested has been saved. */
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
