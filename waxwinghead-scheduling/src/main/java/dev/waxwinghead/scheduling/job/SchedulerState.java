package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Holds what the parts of one scheduler share: the table, what workers reported, and what was learned of them. */
final class SchedulerState {
    /** How long the first quarantine of a worker lasts on which jobs fail that run well elsewhere. */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final JobTable table;
    private final SchedulerTimes times;
    private final SchedulerEvents events;
    private final WorkerHealth<JobId> health = WorkerHealth.create(QUARANTINE_NANOS);
    private final Interference interference = new Interference();
    private final Map<TaskKey, Set<WorkerId>> failedOn = new HashMap<>();
    private WorkerBook book = new WorkerBook();

    SchedulerState(JobTable table, SchedulerTimes times, SchedulerEvents events) {
        this.table = table;
        this.times = times;
        this.events = events;
    }

    JobTable table() {
        return table;
    }

    SchedulerTimes times() {
        return times;
    }

    SchedulerEvents events() {
        return events;
    }

    WorkerHealth<JobId> health() {
        return health;
    }

    Interference interference() {
        return interference;
    }

    WorkerBook book() {
        return book;
    }

    /** Drops what was known of workers' runs. What was learned of images and of failing workers holds. */
    void forgetWorkers() {
        health.forgetStarted();
        book = new WorkerBook();
    }

    /** Returns the step of a task, empty if its job is not known any more. */
    Optional<JobStep> step(TaskKey task) {
        return table.find(task.job())
                .filter(job -> job.holds(task))
                .map(job -> job.step(task).step());
    }

    /** Returns the tasks that a worker's newest report lists, but those of jobs that are not known. */
    List<Interference.Resident> residents(WorkerEntry entry) {
        List<Interference.Resident> residents =
                new ArrayList<>(entry.observations().size());
        entry.observations()
                .forEach((run, observed) -> step(run.task())
                        .ifPresent(step -> residents.add(new Interference.Resident(run, step, observed))));
        return residents;
    }

    /** Lets a worker stop a run with its next answers. */
    void stop(WorkerEntry entry, RunKey run, String reason) {
        if (entry.stopping().add(run)) {
            events.stopping(run, entry.life(), reason);
        }
    }

    /** Makes a worker the last choice for a task. */
    void avoid(TaskKey task, WorkerId worker) {
        failedOn.computeIfAbsent(task, key -> new HashSet<>()).add(worker);
    }

    /** Returns the workers that are the last choice for a task. */
    Set<WorkerId> avoided(TaskKey task) {
        return failedOn.getOrDefault(task, Set.of());
    }

    /** Drops what was learned of a job that has ended. */
    void forget(JobId job) {
        health.forget(job);
        interference.forget(job);
        failedOn.keySet().removeIf(task -> task.job().equals(job));
    }
}
