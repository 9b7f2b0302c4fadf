package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.eviction.PressureControl;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.task.PollReport.TaskReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Slows batch tasks down that harm services beside them, and evicts the worst if that does not help. */
final class PressureRelief {
    private static final int THROTTLE_DIVISOR = 2;

    private final TaskTable table;
    private final Outbox outbox;
    private final Commitments commitments;
    private final Learning learning;
    private final Map<TaskId, Integer> throttledAttempts = new HashMap<>();

    PressureRelief(TaskTable table, Outbox outbox, Commitments commitments, Learning learning) {
        this.table = table;
        this.outbox = outbox;
        this.commitments = commitments;
        this.learning = learning;
    }

    /** Takes in what a worker measured of a live task. */
    void follow(WorkerId worker, TaskReport reported, long now, List<WorkerCommand> commands) {
        Workload workload = commitments.workload(reported.task());
        if (reported.usage() != null) {
            PressureControl.Action action = learning.measured(worker, reported.task(), workload, reported.usage(), now);
            if (action == PressureControl.Action.EVICT) {
                evictWorst(worker);
            }
        }
        if (!workload.service()) {
            throttle(worker, reported, workload, commands);
        }
    }

    /** Forgets a task that has ended. */
    void ended(TaskId task) {
        throttledAttempts.remove(task);
        learning.ended(task);
    }

    private void throttle(WorkerId worker, TaskReport reported, Workload workload, List<WorkerCommand> commands) {
        long declared = workload.resources().millicores();
        boolean wanted = learning.throttled(worker) && learning.worthThrottling(riseOfServices(worker, workload));
        boolean done = Integer.valueOf(reported.attempt()).equals(throttledAttempts.get(reported.task()));
        if (wanted && !done) {
            throttledAttempts.put(reported.task(), reported.attempt());
            commands.add(new WorkerCommand.Throttle(reported.task(), reported.attempt(), declared / THROTTLE_DIVISOR));
        } else if (!wanted && done) {
            throttledAttempts.remove(reported.task());
            commands.add(new WorkerCommand.Throttle(reported.task(), reported.attempt(), declared));
        }
    }

    private void evictWorst(WorkerId worker) {
        TaskId worst = null;
        double most = 0;
        for (TaskId id : commitments.tasksOn(worker)) {
            double rise = riseOfServices(worker, commitments.workload(id));
            boolean running = table.task(id)
                    .filter(task -> task.state() == TaskState.RUNNING)
                    .isPresent();
            boolean worse = rise > most || (rise == most && worst != null && larger(id, worst));
            if (running && !outbox.holds(id) && worse) {
                most = rise;
                worst = id;
            }
        }
        if (worst != null && learning.worthEviction(most)) {
            int attempt = table.task(worst).orElseThrow().attempt().number();
            outbox.add(new Transition.Report(Transition.Kind.EVICTING, worst, attempt, null));
        }
    }

    private boolean larger(TaskId one, TaskId other) {
        return learning.expectedMillicores(commitments.workload(one))
                > learning.expectedMillicores(commitments.workload(other));
    }

    private double riseOfServices(WorkerId worker, Workload batch) {
        if (batch.service()) {
            return 0;
        }
        double sum = 0;
        for (TaskId id : commitments.tasksOn(worker)) {
            Workload other = commitments.workload(id);
            sum += other.service() ? learning.latencyIncrease(other, batch) : 0;
        }
        return sum;
    }
}
