package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import java.util.Map;

/**
 * Holds one command of a scheduler.
 *
 * @param type what to do
 * @param task the task
 * @param attempt the attempt
 * @param resources what the task may use; only with {@code start}
 * @param settings the task's settings; only with {@code start}
 * @param service what it offers, null for a batch task; only with {@code start}
 * @param checkpoint where to resume, null for the beginning; only with {@code start}
 * @param graceMillis how long the task may take to end; only with {@code stop}
 * @param millicores what the task may use from now on; only with {@code throttle}
 */
record TaskCommand(
        Type type,
        TaskId task,
        int attempt,
        Resources resources,
        Map<String, String> settings,
        ServiceTerms service,
        String checkpoint,
        long graceMillis,
        long millicores) {
    TaskCommand {
        resources = resources == null ? Resources.NONE : resources;
        settings = settings == null ? Map.of() : Map.copyOf(settings);
    }

    enum Type {
        @JsonProperty("start")
        START,
        @JsonProperty("stop")
        STOP,
        @JsonProperty("checkpoint")
        CHECKPOINT,
        @JsonProperty("throttle")
        THROTTLE,
        @JsonProperty("acknowledge")
        ACKNOWLEDGE
    }
}
