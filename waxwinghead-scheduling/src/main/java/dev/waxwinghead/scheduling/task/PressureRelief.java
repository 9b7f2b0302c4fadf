package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.eviction.PressureControl;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.task.PollReport.TaskReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Throttles batch tasks that increase the latency of colocated services, and evicts one if throttling does not help.
 */
final class PressureRelief {
    private static final int THROTTLE_DIVISOR = 2;

    private final TaskTable table;
    private final Outbox outbox;
    private final Commitments commitments;
    private final LearnedCostModel learning;
    private final Map<TaskId, Integer> throttledAttempts = new HashMap<>();

    PressureRelief(TaskTable table, Outbox outbox, Commitments commitments, LearnedCostModel learning) {
        this.table = table;
        this.outbox = outbox;
        this.commitments = commitments;
        this.learning = learning;
    }

    /** Handles the reported usage of a live task. */
    void onReport(WorkerId worker, TaskReport reported, long now, List<WorkerCommand> commands) {
        Workload workload = commitments.workload(reported.task());
        if (reported.usage() != null) {
            PressureControl.Action action =
                    learning.onMeasurement(worker, reported.task(), workload, reported.usage(), now);
            if (action == PressureControl.Action.EVICT) {
                evictStrongestInterferer(worker);
            }
        }
        if (!workload.service()) {
            throttle(worker, reported, workload, commands);
        }
    }

    /** Discards the state of a task that has ended. */
    void taskEnded(TaskId task) {
        throttledAttempts.remove(task);
        learning.taskEnded(task);
    }

    private void throttle(WorkerId worker, TaskReport reported, Workload workload, List<WorkerCommand> commands) {
        long declared = workload.resources().millicores();
        boolean shouldThrottle =
                learning.throttled(worker) && learning.worthThrottling(totalLatencyIncrease(worker, workload));
        boolean alreadyThrottled = Integer.valueOf(reported.attempt()).equals(throttledAttempts.get(reported.task()));
        if (shouldThrottle && !alreadyThrottled) {
            throttledAttempts.put(reported.task(), reported.attempt());
            commands.add(new WorkerCommand.Throttle(reported.task(), reported.attempt(), declared / THROTTLE_DIVISOR));
        } else if (!shouldThrottle && alreadyThrottled) {
            throttledAttempts.remove(reported.task());
            commands.add(new WorkerCommand.Throttle(reported.task(), reported.attempt(), declared));
        }
    }

    private void evictStrongestInterferer(WorkerId worker) {
        TaskId strongest = null;
        double largestIncrease = 0;
        for (TaskId id : commitments.tasksOn(worker)) {
            double increase = totalLatencyIncrease(worker, commitments.workload(id));
            boolean running = table.task(id)
                    .filter(task -> task.state() == TaskState.RUNNING)
                    .isPresent();
            boolean stronger = increase > largestIncrease
                    || (increase == largestIncrease && strongest != null && usesMoreMillicores(id, strongest));
            if (running && !outbox.contains(id) && stronger) {
                largestIncrease = increase;
                strongest = id;
            }
        }
        if (strongest != null && learning.worthEviction(largestIncrease)) {
            int attempt = table.task(strongest).orElseThrow().attempt().number();
            outbox.add(new Transition.Report(Transition.Kind.EVICTING, strongest, attempt, null));
        }
    }

    private boolean usesMoreMillicores(TaskId one, TaskId other) {
        return learning.expectedMillicores(commitments.workload(one))
                > learning.expectedMillicores(commitments.workload(other));
    }

    private double totalLatencyIncrease(WorkerId worker, Workload batch) {
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
