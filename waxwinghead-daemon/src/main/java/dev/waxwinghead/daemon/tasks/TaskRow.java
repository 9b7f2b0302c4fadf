package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.task.Attempt;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import java.util.Locale;
import java.util.Optional;

/** Represents a task in the operators' API. */
record TaskRow(
        TaskId task,
        int attempt,
        String state,
        WorkerId worker,
        DataCentreId dataCentre,
        String reason,
        String checkpoint) {
    static TaskRow of(TaskRecord task, Optional<OwnerRecord> owner) {
        return new TaskRow(
                task.id(),
                task.attempts(),
                task.state().name().toLowerCase(Locale.ROOT),
                task.liveAttempt().map(Attempt::worker).orElse(null),
                task.dataCentre(),
                reason(task, owner),
                task.checkpoint());
    }

    private static String reason(TaskRecord task, Optional<OwnerRecord> owner) {
        if (task.state() == TaskState.FAILED) {
            return task.message();
        }
        if (task.state() != TaskState.WAITING) {
            return null;
        }
        String stored = owner.map(OwnerRecord::reason).orElse(null);
        if (stored != null) {
            return stored;
        }
        if (task.dataCentre() == null) {
            return "no data centre has reported a worker that could run the task";
        }
        return task.message() == null
                ? "the scheduler of " + task.dataCentre() + " has not placed the task yet"
                : "waiting for a retry after a failure: " + task.message();
    }
}
