package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Restarts the tasks of changed services so that at most a quarter of a service's tasks are down at once, or one task
 * if a quarter is less than one. Tasks in drained data centres are left to {@link DataCentreDrainMoves}, since they
 * could not start again before there is capacity elsewhere.
 */
final class RollingRestart {
    private static final int BATCH_DIVISOR = 4;

    private final TaskTable table;

    RollingRestart(TaskTable table) {
        this.table = table;
    }

    Optional<TaskCommand> next() {
        List<TaskId> tasks = new ArrayList<>();
        for (OwnerRecord owner : table.owners()) {
            if (owner.service() && owner.templateRevision() != 0) {
                tasks.addAll(outdated(owner));
            }
        }
        return tasks.isEmpty() ? Optional.empty() : Optional.of(new TaskCommand.Restart(tasks));
    }

    private List<TaskId> outdated(OwnerRecord owner) {
        List<TaskId> outdated = new ArrayList<>();
        int missing = 0;
        for (int i = 0; i < owner.desiredTasks(); i++) {
            TaskRecord task = table.task(owner.taskId(i)).orElse(null);
            if (task == null || task.state() != TaskState.RUNNING) {
                missing++;
            } else if (task.attempt().revision() < owner.templateRevision() && !table.drained(task.dataCentre())) {
                outdated.add(task.id());
            }
        }
        return outdated.subList(0, Math.min(allowedStops(owner, missing), outdated.size()));
    }

    /** Returns how many more tasks of a service may be stopped while the given number of tasks does not run. */
    static int allowedStops(OwnerRecord owner, int missing) {
        return Math.max(0, Math.max(1, owner.desiredTasks() / BATCH_DIVISOR) - missing);
    }
}
