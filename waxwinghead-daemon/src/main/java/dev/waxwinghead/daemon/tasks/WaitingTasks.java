package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;

/** Indexes the ids of waiting tasks, so that the planner need not scan all tasks. */
final class WaitingTasks {
    private final Set<TaskId> ids = new ConcurrentSkipListSet<>();

    void taskChanged(TaskRecord task) {
        if (task.state() == TaskState.WAITING) {
            ids.add(task.id());
        } else {
            ids.remove(task.id());
        }
    }

    void tableRestored(TaskTable table) {
        ids.clear();
        table.tasks().forEach(this::taskChanged);
    }

    Set<TaskId> ids() {
        return ids;
    }
}
