package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import java.util.Map;

/**
 * Represents one command of a scheduler.
 *
 * @param type the kind of command
 * @param task the task
 * @param attempt the number of the attempt
 * @param resources the resources that the task may use, never null; only with {@code start}
 * @param settings the settings of the task, never null; only with {@code start}
 * @param service the service that the task serves, null for a batch task; only with {@code start}
 * @param checkpoint the checkpoint to resume from, null to start from the beginning; only with {@code start}
 * @param graceMillis the time within which the task must end, in milliseconds; only with {@code stop}
 * @param millicores the new bound on processor time, in thousandths of a core; only with {@code throttle}
 */
record TaskCommand(
        Type type,
        TaskId task,
        int attempt,
        Resources resources,
        Map<String, String> settings,
        ServiceSpec service,
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
