package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.TaskId;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Tracks the tasks of one worker and applies commands to them. Commands must come from a single thread. */
final class TaskTable {
    private final ConcurrentMap<Attempt, WorkerTask> tasks = new ConcurrentHashMap<>();

    private TaskTable() {}

    static TaskTable create() {
        return new TaskTable();
    }

    void execute(TaskCommand command, TaskContext context, boolean leaving) {
        Attempt attempt = new Attempt(command.task(), command.attempt());
        WorkerTask task = tasks.get(attempt);
        if (command.type() == TaskCommand.Type.START) {
            if (task == null && !leaving && context.lease().held()) {
                tasks.put(attempt, start(command, context));
            }
            return;
        }
        if (task == null) {
            return;
        }
        switch (command.type()) {
            case STOP -> task.stop(command.graceMillis());
            case CHECKPOINT -> task.checkpoint();
            case THROTTLE -> task.throttle(command.millicores());
            case ACKNOWLEDGE -> acknowledge(attempt, task);
            case START -> throw new IllegalArgumentException("unexpected command of type START");
        }
    }

    private static WorkerTask start(TaskCommand command, TaskContext context) {
        try {
            return command.service() == null ? BatchTask.start(context, command) : ServiceTask.start(context, command);
        } catch (RuntimeException e) {
            return new RefusedTask(command, e.getMessage());
        }
    }

    private void acknowledge(Attempt attempt, WorkerTask task) {
        if (task.report().state().ended()) {
            tasks.remove(attempt);
        }
    }

    List<TaskReport> reports() {
        return tasks.values().stream().map(WorkerTask::report).toList();
    }

    void expireLease() {
        tasks.values().forEach(WorkerTask::expireLease);
    }

    void leave() {
        tasks.values().forEach(WorkerTask::leave);
    }

    /** Shuts down all tasks that are still running. */
    void shutDownAll() {
        tasks.values().forEach(WorkerTask::shutDown);
    }

    boolean busy() {
        return tasks.values().stream().anyMatch(WorkerTask::busy);
    }

    boolean isEmpty() {
        return tasks.isEmpty();
    }

    long noiseMicros() {
        long sum = 0;
        for (WorkerTask task : tasks.values()) {
            sum += task.noiseMicros();
        }
        return sum;
    }

    private record Attempt(TaskId task, int attempt) {}
}
