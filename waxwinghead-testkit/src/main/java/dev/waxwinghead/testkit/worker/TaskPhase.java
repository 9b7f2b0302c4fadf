package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Lists the states of a task that a worker reports. */
enum TaskPhase {
    STARTING,
    RUNNING,
    COMPLETED,
    FAILED,
    STOPPED,
    CHECKPOINTED;

    @JsonValue
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    boolean ended() {
        return this != STARTING && this != RUNNING;
    }
}
