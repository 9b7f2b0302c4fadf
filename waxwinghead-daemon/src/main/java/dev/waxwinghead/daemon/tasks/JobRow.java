package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Stream;

/** Represents a job in the operators' API. */
record JobRow(
        JobName name,
        String state,
        int tasks,
        int waiting,
        int running,
        int completed,
        int failed,
        int cancelled,
        String reason) {
    static JobRow of(OwnerRecord owner, Stream<TaskRecord> records) {
        Map<TaskState, Integer> counts = new EnumMap<>(TaskState.class);
        records.forEach(task -> counts.merge(task.state(), 1, Integer::sum));
        int live = count(counts, TaskState.STARTING)
                + count(counts, TaskState.RUNNING)
                + count(counts, TaskState.STOPPING);
        int waiting = count(counts, TaskState.WAITING);
        int tasks = ((JobManifest) owner.manifest()).tasks();
        return new JobRow(
                JobName.of(owner.key().name()),
                state(owner, tasks, waiting, live, count(counts, TaskState.COMPLETED)),
                tasks,
                waiting,
                live,
                count(counts, TaskState.COMPLETED),
                count(counts, TaskState.FAILED),
                count(counts, TaskState.CANCELLED),
                reason(owner, waiting));
    }

    static JobRow notYetPlanned(JobManifest job) {
        return new JobRow(
                job.name(),
                "waiting",
                job.tasks(),
                job.tasks(),
                0,
                0,
                0,
                0,
                "not yet planned; the planner creates its tasks next");
    }

    private static String state(OwnerRecord owner, int tasks, int waiting, int live, int completed) {
        if (completed >= tasks) {
            return "completed";
        }
        if (live > 0) {
            return "running";
        }
        return switch (owner.status()) {
            case CANCELLED -> "cancelled";
            case FAILED -> "failed";
            case IMPOSSIBLE -> "impossible";
            case ACTIVE -> waiting == tasks ? "waiting" : "running";
        };
    }

    private static String reason(OwnerRecord owner, int waiting) {
        return owner.status() == OwnerRecord.Status.FAILED || waiting > 0 ? owner.reason() : null;
    }

    private static int count(Map<TaskState, Integer> counts, TaskState state) {
        return counts.getOrDefault(state, 0);
    }
}
