package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.TaskId;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Holds the tasks of one worker and carries out commands on them. Commands come from one thread. */
final class TaskTable {
    private final ConcurrentMap<Attempt, WorkerTask> tasks = new ConcurrentHashMap<>();

    private TaskTable() {}

    static TaskTable create() {
        return new TaskTable();
    }

    void obey(TaskCommand command, TaskContext context, boolean leaving) {
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
            case START -> throw new IllegalArgumentException("command is a start");
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

    void lapse() {
        tasks.values().forEach(WorkerTask::lapse);
    }

    void leave() {
        tasks.values().forEach(WorkerTask::leave);
    }

    /** Ends all tasks that still run. */
    void endAll() {
        tasks.values().forEach(WorkerTask::end);
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
