package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;

/** Keeps the ids of the tasks that wait, so that the planner need not go through all tasks. */
final class WaitingTasks {
    private final Set<TaskId> ids = new ConcurrentSkipListSet<>();

    void changed(TaskRecord task) {
        if (task.state() == TaskState.WAITING) {
            ids.add(task.id());
        } else {
            ids.remove(task.id());
        }
    }

    void restored(TaskTable table) {
        ids.clear();
        table.tasks().forEach(this::changed);
    }

    Set<TaskId> ids() {
        return ids;
    }
}
