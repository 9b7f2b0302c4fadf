package dev.waxwinghead.scheduling.health;

import dev.waxwinghead.model.id.WorkerId;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the health of workers by the tasks that fail or succeed on them.
 *
 * <p>A worker is unproven until a task has succeeded there since its last failure, and is given only a few tasks on
 * trial meanwhile. A trial ends when the task ends, or once it has been running well for a while, so that long tasks do
 * not keep the rest of the worker from others. A worker is quarantined once jobs fail there that do not fail elsewhere;
 * after the quarantine the worker is on probation and takes one task at a time. A failure counts against the job alone
 * if the job fails on several workers and succeeds on none, and against the task alone if the task has failed on
 * several workers since it last succeeded, whatever the other tasks of its job do. Not thread-safe.
 *
 * @param <J> the type that identifies a job
 * @param <T> the type that identifies a task
 * @since 0.1
 */
public final class WorkerHealth<J, T> {
    /** The maximum number of concurrent trials on an unproven worker, with the trials that failed there. */
    public static final int MAX_TRIALS = 5;

    /** The time for which a task runs well before its trial ends. */
    public static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int MIN_FAILURES_OF_SEVERAL_JOBS = 3;
    private static final int MIN_FAILURES_OF_ONE_JOB = 4;
    private static final int MIN_WORKERS_FOR_FAULTY_WORK = 2;
    private static final long TRIAL_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long DEFAULT_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(1);
    /** A quarantine lasts at most four times as long as the first one. */
    private static final int MAX_DOUBLINGS = 2;

    private final Map<WorkerId, WorkerState<J, T>> workers = new HashMap<>();
    private final Map<J, JobOutcomes> jobs = new HashMap<>();
    private final Map<T, TaskFailures<J>> tasks = new HashMap<>();

    private final long firstQuarantineNanos;
    private final QuarantineControl control;

    private WorkerHealth(long firstQuarantineNanos, QuarantineControl control) {
        this.firstQuarantineNanos = firstQuarantineNanos;
        this.control = control;
    }

    /**
     * Returns a health record in which every worker is unproven.
     *
     * @param <J> the type that identifies a job
     * @param <T> the type that identifies a task
     * @return the health record, never null
     */
    public static <J, T> WorkerHealth<J, T> create() {
        return new WorkerHealth<>(DEFAULT_QUARANTINE_NANOS, QuarantineControl.UNBOUNDED);
    }

    /**
     * Returns a health record in which every worker is unproven, with the given duration of the first quarantine.
     *
     * @param firstQuarantineNanos the duration of a worker's first quarantine, in nanoseconds; each consecutive
     *     quarantine lasts twice as long, up to four times as long as the first
     * @param control bounds the number of quarantined workers
     * @param <J> the type that identifies a job
     * @param <T> the type that identifies a task
     * @return the health record, never null
     */
    public static <J, T> WorkerHealth<J, T> create(long firstQuarantineNanos, QuarantineControl control) {
        return new WorkerHealth<>(firstQuarantineNanos, control);
    }

    /**
     * Records that a task was assigned to a worker.
     *
     * @param worker the worker
     * @param task the task
     */
    public void started(WorkerId worker, T task) {
        WorkerState<J, T> state = stateOf(worker);
        if (!state.proven) {
            state.unprovenTasks++;
            state.trials.add(task);
        }
    }

    /**
     * Records that a task has been running on a worker for {@link #TRIAL_NANOS} and makes progress. This ends its trial
     * but proves nothing, since the task may yet fail.
     *
     * @param worker the worker
     * @param task the task
     * @since 0.3
     */
    public void runsWell(WorkerId worker, T task) {
        WorkerState<J, T> state = workers.get(worker);
        if (state != null && !state.quarantined && state.trials.remove(task)) {
            state.pastTrials.add(task);
            state.unprovenTasks = Math.max(0, state.unprovenTasks - 1);
        }
    }

    /**
     * Records that a task assigned to a worker ended in a way that says nothing about the worker's health.
     *
     * @param worker the worker
     * @param task the task
     */
    public void endedInconclusively(WorkerId worker, T task) {
        WorkerState<J, T> state = stateOf(worker);
        state.trials.remove(task);
        if (!state.pastTrials.remove(task)) {
            state.unprovenTasks = Math.max(0, state.unprovenTasks - 1);
        }
    }

    /**
     * Ends all trials. Another scheduler may have acted in the meantime, so it is unknown which tasks are still
     * assigned to which worker. Recorded successes and failures are kept.
     */
    public void resetStarted() {
        workers.values().forEach(WorkerState::endTrials);
    }

    /**
     * Records that a task succeeded on a worker.
     *
     * @param worker the worker
     * @param job the task's job or service
     * @param task the task
     */
    public void succeeded(WorkerId worker, J job, T task) {
        WorkerState<J, T> state = stateOf(worker);
        state.proven = true;
        state.endTrials();
        state.failures.clear();
        state.quarantines = 0;
        state.quarantined = false;
        JobOutcomes record = jobs.get(job);
        if (record != null) {
            record.failedOn.remove(worker);
        }
        jobs.computeIfAbsent(job, key -> new JobOutcomes()).succeededOn.add(worker);
        tasks.remove(task);
    }

    /**
     * Records that a task failed on a worker.
     *
     * @param worker the worker
     * @param job the task's job or service
     * @param task the task
     * @param now the current time, in nanoseconds
     */
    public void failed(WorkerId worker, J job, T task, long now) {
        JobOutcomes record = jobs.computeIfAbsent(job, key -> new JobOutcomes());
        record.failedOn.add(worker);
        record.succeededOn.remove(worker);
        tasks.computeIfAbsent(task, key -> new TaskFailures<>(job)).failedOn.add(worker);
        WorkerState<J, T> state = stateOf(worker);
        state.trials.remove(task);
        if (state.pastTrials.remove(task)) {
            // A failed task stays counted, like one that fails on trial.
            state.unprovenTasks++;
        }
        if (state.quarantined && now - state.quarantinedUntilNanos < 0) {
            // Assigned before the quarantine, so it is no failed trial.
            return;
        }
        state.failures.merge(task, new Failures<>(job, 1), Failures::plus);
        state.lastFailureNanos = now;
        if (state.proven && !failsEverywhere(job) && !failsOnSeveralWorkers(task)) {
            state.proven = false;
            state.unprovenTasks = 1;
        }
        evaluate(worker, state, now);
    }

    /**
     * Re-evaluates a worker, since jobs that failed there may have succeeded elsewhere in the meantime.
     *
     * @param worker the worker
     * @param now the current time, in nanoseconds
     */
    public void review(WorkerId worker, long now) {
        WorkerState<J, T> state = workers.get(worker);
        if (state != null && !state.failures.isEmpty()) {
            evaluate(worker, state, now);
        }
    }

    /**
     * Returns whether a worker may be assigned another task.
     *
     * @param worker the worker
     * @param job the task's job or service
     * @param now the current time, in nanoseconds
     * @return false while the worker is quarantined, or has the maximum number of trials for an unproven worker
     */
    public boolean accepts(WorkerId worker, J job, long now) {
        if (acceptsEveryJob(worker)) {
            return true;
        }
        WorkerState<J, T> state = workers.get(worker);
        if (state.quarantined) {
            return now - state.quarantinedUntilNanos >= 0 && state.unprovenTasks == 0;
        }
        boolean otherJob =
                state.unprovenTasks < MAX_TRIALS && !state.failedJobs().contains(job);
        boolean trialDue = !state.failures.isEmpty() && now - state.lastFailureNanos >= TRIAL_INTERVAL_NANOS;
        return otherJob || trialDue;
    }

    /**
     * Returns whether a worker may be assigned a task of any job.
     *
     * @param worker the worker
     * @return false if {@link #accepts} may be false for some job at some time; changes only with a call that records a
     *     start, an end or a review
     * @since 0.3
     */
    public boolean acceptsEveryJob(WorkerId worker) {
        WorkerState<J, T> state = workers.get(worker);
        return state == null || state.proven || (!state.quarantined && state.unprovenTasks < MAX_TRIALS - 1);
    }

    /**
     * Returns whether a worker may be assigned a task of a job that would otherwise run nowhere, beyond the limit of
     * {@link #accepts}.
     *
     * @param worker the worker
     * @param job the task's job or service
     * @return false while the worker is quarantined or on probation, or if the job has failed there
     * @since 0.3
     */
    public boolean acceptsStarved(WorkerId worker, J job) {
        return !quarantined(worker) && !failedOn(job).contains(worker);
    }

    /**
     * Returns whether {@link #accepts} must be checked before a task is assigned to a worker.
     *
     * @param worker the worker
     * @return true while no task has succeeded there since the last failure
     */
    public boolean restricted(WorkerId worker) {
        WorkerState<J, T> state = workers.get(worker);
        return state != null && !state.proven;
    }

    /**
     * Returns whether a worker is quarantined or on probation.
     *
     * @param worker the worker
     * @return true until a task succeeds there again
     */
    public boolean quarantined(WorkerId worker) {
        WorkerState<J, T> state = workers.get(worker);
        return state != null && state.quarantined;
    }

    /**
     * Returns the workers on which a job has failed and not succeeded since.
     *
     * @param job the job
     * @return the workers, empty if there are none; a live view
     */
    public Set<WorkerId> failedOn(J job) {
        JobOutcomes record = jobs.get(job);
        return record == null ? Set.of() : Collections.unmodifiableSet(record.failedOn);
    }

    /**
     * Returns whether a job fails on several workers and succeeds on none.
     *
     * @param job the job
     * @return true if the job's failures do not count against workers
     */
    public boolean failsEverywhere(J job) {
        JobOutcomes record = jobs.get(job);
        return record != null && record.failedOn.size() >= MIN_WORKERS_FOR_FAULTY_WORK && record.succeededOn.isEmpty();
    }

    /**
     * Returns whether a task has failed on several workers since it last succeeded.
     *
     * @param task the task
     * @return true if the task's failures do not count against workers
     * @since 0.3
     */
    public boolean failsOnSeveralWorkers(T task) {
        TaskFailures<J> record = tasks.get(task);
        return record != null && record.failedOn.size() >= MIN_WORKERS_FOR_FAULTY_WORK;
    }

    /**
     * Removes the record of a job that no longer exists.
     *
     * @param job the job
     */
    public void forget(J job) {
        jobs.remove(job);
        tasks.values().removeIf(record -> record.job.equals(job));
    }

    private void evaluate(WorkerId worker, WorkerState<J, T> state, long now) {
        dropFailuresOfFaultyWork(state);
        int failures = 0;
        boolean succeedsElsewhere = false;
        for (Failures<J> task : state.failures.values()) {
            failures += task.count;
            JobOutcomes record = jobs.get(task.job);
            succeedsElsewhere |= record != null && !record.succeededOn.isEmpty();
        }
        boolean severalJobs =
                failures >= MIN_FAILURES_OF_SEVERAL_JOBS && state.failedJobs().size() > 1;
        boolean singleJob = succeedsElsewhere && failures >= MIN_FAILURES_OF_ONE_JOB;
        boolean onProbation = state.quarantined && failures > 0 && now - state.quarantinedUntilNanos >= 0;
        if (severalJobs || singleJob || onProbation) {
            quarantine(worker, state, failures, now);
        }
    }

    private void quarantine(WorkerId worker, WorkerState<J, T> state, int failures, long now) {
        QuarantineControl.Evidence evidence = new QuarantineControl.Evidence(
                failures, state.failures.size(), state.failedJobs().size());
        if (!state.quarantined && !control.permits(worker)) {
            if (!evidence.equals(state.refusedEvidence)) {
                state.refusedEvidence = evidence;
                control.decided(worker, evidence, 0);
            }
            return;
        }
        long nanos = firstQuarantineNanos << Math.min(state.quarantines++, MAX_DOUBLINGS);
        state.quarantined = true;
        state.quarantinedUntilNanos = now + nanos;
        state.failures.clear();
        state.endTrials();
        control.decided(worker, evidence, TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    private void dropFailuresOfFaultyWork(WorkerState<J, T> state) {
        state.failures.entrySet().removeIf(entry -> {
            boolean faulty = failsEverywhere(entry.getValue().job) || failsOnSeveralWorkers(entry.getKey());
            if (faulty) {
                state.unprovenTasks = Math.max(0, state.unprovenTasks - entry.getValue().count);
            }
            return faulty;
        });
    }

    private WorkerState<J, T> stateOf(WorkerId worker) {
        return workers.computeIfAbsent(worker, key -> new WorkerState<>());
    }

    /** Holds the failures of a worker since a task last succeeded there, and its quarantine. */
    private static final class WorkerState<J, T> {
        private final Map<T, Failures<J>> failures = new HashMap<>();
        /** The tasks that are running on trial. */
        private final Set<T> trials = new HashSet<>();
        /** The running tasks whose trial has ended. */
        private final Set<T> pastTrials = new HashSet<>();

        private boolean proven;
        /** The number of trials, with those that failed. */
        private int unprovenTasks;

        private long lastFailureNanos;
        private int quarantines;
        private boolean quarantined;
        private long quarantinedUntilNanos;
        private QuarantineControl.Evidence refusedEvidence;

        private void endTrials() {
            trials.clear();
            pastTrials.clear();
            unprovenTasks = 0;
        }

        private Set<J> failedJobs() {
            Set<J> failed = new HashSet<>();
            failures.values().forEach(task -> failed.add(task.job));
            return failed;
        }
    }

    /** Counts the failures of a task on a worker. */
    private record Failures<J>(J job, int count) {
        Failures<J> plus(Failures<J> other) {
            return new Failures<>(job, count + other.count);
        }
    }

    private static final class JobOutcomes {
        private final Set<WorkerId> failedOn = new HashSet<>();
        private final Set<WorkerId> succeededOn = new HashSet<>();
    }

    /** Holds the workers on which a task has failed since it last succeeded. */
    private static final class TaskFailures<J> {
        private final J job;
        private final Set<WorkerId> failedOn = new HashSet<>();

        TaskFailures(J job) {
            this.job = job;
        }
    }
}
