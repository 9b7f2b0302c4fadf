package dev.waxwinghead.scheduling.health;

import dev.waxwinghead.model.id.WorkerId;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Judges workers by which jobs fail on them and which do not.
 *
 * <p>A worker that has not proved itself since its last failure takes a few tasks at most. It is quarantined once jobs
 * fail there that do not fail elsewhere, and then takes single tasks on probation. A failure of a job that fails on
 * several workers and succeeds on none counts against the job alone. Used by one thread at a time.
 *
 * @param <J> what identifies a job
 * @since 0.1
 */
public final class WorkerHealth<J> {
    /** How many tasks a worker may take before one of them has proved it. */
    public static final int MOST_UNPROVED = 5;

    private static final int LEAST_FAILURES_OF_SEVERAL_JOBS = 3;
    private static final int LEAST_FAILURES_OF_ONE_JOB = 4;
    private static final int LEAST_WORKERS_TO_BLAME_A_JOB = 2;
    private static final long RETRY_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final long DEFAULT_QUARANTINE_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final int MOST_DOUBLINGS = 6;

    private final Map<WorkerId, Standing<J>> workers = new HashMap<>();
    private final Map<J, JobRecord> jobs = new HashMap<>();

    private final long firstQuarantineNanos;

    private WorkerHealth(long firstQuarantineNanos) {
        this.firstQuarantineNanos = firstQuarantineNanos;
    }

    /**
     * Returns a record in which every worker is unproved.
     *
     * @param <J> what identifies a job
     * @return the record, never null
     */
    public static <J> WorkerHealth<J> create() {
        return new WorkerHealth<>(DEFAULT_QUARANTINE_NANOS);
    }

    /**
     * Returns a record in which every worker is unproved, with another length of the first quarantine.
     *
     * @param firstQuarantineNanos how long a worker's first quarantine lasts, in nanoseconds; each further one in a row
     *     lasts twice as long
     * @param <J> what identifies a job
     * @return the record, never null
     */
    public static <J> WorkerHealth<J> create(long firstQuarantineNanos) {
        return new WorkerHealth<>(firstQuarantineNanos);
    }

    /**
     * Takes note that a task was given to a worker.
     *
     * @param worker the worker
     */
    public void started(WorkerId worker) {
        Standing<J> standing = standing(worker);
        if (!standing.proved) {
            standing.unproved++;
        }
    }

    /**
     * Takes note that a task given to a worker ended without speaking for or against it.
     *
     * @param worker the worker
     */
    public void withdrawn(WorkerId worker) {
        Standing<J> standing = standing(worker);
        standing.unproved = Math.max(0, standing.unproved - 1);
    }

    /**
     * Takes note that other schedulers may have acted meanwhile, so that it is not known which tasks are still with
     * which worker. What speaks for and against workers holds.
     */
    public void forgetStarted() {
        workers.values().forEach(standing -> standing.unproved = 0);
    }

    /**
     * Takes note that a task ran well on a worker.
     *
     * @param worker the worker
     * @param job the task's job or service
     */
    public void succeeded(WorkerId worker, J job) {
        Standing<J> standing = standing(worker);
        standing.proved = true;
        standing.unproved = 0;
        standing.failures.clear();
        standing.quarantines = 0;
        standing.quarantined = false;
        JobRecord record = jobs.get(job);
        if (record != null) {
            record.failedOn.remove(worker);
        }
        jobs.computeIfAbsent(job, key -> new JobRecord()).succeededOn.add(worker);
    }

    /**
     * Takes note that a task failed on a worker.
     *
     * @param worker the worker
     * @param job the task's job or service
     * @param now the time now, in nanoseconds
     */
    public void failed(WorkerId worker, J job, long now) {
        JobRecord record = jobs.computeIfAbsent(job, key -> new JobRecord());
        record.failedOn.add(worker);
        record.succeededOn.remove(worker);
        Standing<J> standing = standing(worker);
        standing.failures.merge(job, 1, Integer::sum);
        standing.failedNanos = now;
        if (standing.proved && !failsEverywhere(job)) {
            standing.proved = false;
            standing.unproved = 1;
        }
        judge(standing, now);
    }

    /**
     * Judges a worker anew, since jobs that failed there may have run well elsewhere by now.
     *
     * @param worker the worker
     * @param now the time now, in nanoseconds
     */
    public void review(WorkerId worker, long now) {
        Standing<J> standing = workers.get(worker);
        if (standing != null && !standing.failures.isEmpty()) {
            judge(standing, now);
        }
    }

    /**
     * Tells whether a worker may be given another task.
     *
     * @param worker the worker
     * @param job the task's job or service
     * @param now the time now, in nanoseconds
     * @return false while it is quarantined, or has enough tasks that may yet prove it
     */
    public boolean accepts(WorkerId worker, J job, long now) {
        Standing<J> standing = workers.get(worker);
        if (standing == null || standing.proved) {
            return true;
        }
        if (standing.quarantined) {
            return now - standing.quarantinedUntilNanos >= 0 && standing.unproved == 0;
        }
        if (standing.unproved < MOST_UNPROVED - 1) {
            return true;
        }
        boolean another = standing.unproved < MOST_UNPROVED && !standing.failures.containsKey(job);
        boolean retry = !standing.failures.isEmpty() && now - standing.failedNanos >= RETRY_NANOS;
        return another || retry;
    }

    /**
     * Tells whether {@link #accepts} needs to be asked for a worker.
     *
     * @param worker the worker
     * @return true while a task has not run well there since the last failure
     */
    public boolean restricted(WorkerId worker) {
        Standing<J> standing = workers.get(worker);
        return standing != null && !standing.proved;
    }

    /**
     * Tells whether a worker is quarantined or on probation.
     *
     * @param worker the worker
     * @return true until a task has run well there again
     */
    public boolean quarantined(WorkerId worker) {
        Standing<J> standing = workers.get(worker);
        return standing != null && standing.quarantined;
    }

    /**
     * Returns the workers that a job failed on and has not run well on since.
     *
     * @param job the job
     * @return the workers, empty if there are none; a live view
     */
    public Set<WorkerId> failedOn(J job) {
        JobRecord record = jobs.get(job);
        return record == null ? Set.of() : Collections.unmodifiableSet(record.failedOn);
    }

    /**
     * Tells whether a job fails on several workers and runs well on none.
     *
     * @param job the job
     * @return true if its failures count against itself alone
     */
    public boolean failsEverywhere(J job) {
        JobRecord record = jobs.get(job);
        return record != null && record.failedOn.size() >= LEAST_WORKERS_TO_BLAME_A_JOB && record.succeededOn.isEmpty();
    }

    /**
     * Forgets a job that is gone.
     *
     * @param job the job
     */
    public void forget(J job) {
        jobs.remove(job);
    }

    private void judge(Standing<J> standing, long now) {
        withdrawBlamedJobs(standing);
        int failures = 0;
        boolean runsElsewhere = false;
        for (Map.Entry<J, Integer> entry : standing.failures.entrySet()) {
            failures += entry.getValue();
            JobRecord record = jobs.get(entry.getKey());
            runsElsewhere |= record != null && !record.succeededOn.isEmpty();
        }
        boolean severalJobs = standing.failures.size() > 1 && failures >= LEAST_FAILURES_OF_SEVERAL_JOBS;
        boolean oneJob = runsElsewhere && failures >= LEAST_FAILURES_OF_ONE_JOB;
        boolean onProbation = standing.quarantined && failures > 0 && now - standing.quarantinedUntilNanos >= 0;
        if (severalJobs || oneJob || onProbation) {
            int doublings = Math.min(standing.quarantines++, MOST_DOUBLINGS);
            standing.quarantined = true;
            standing.quarantinedUntilNanos = now + (firstQuarantineNanos << doublings);
            standing.failures.clear();
            standing.unproved = 0;
        }
    }

    private void withdrawBlamedJobs(Standing<J> standing) {
        standing.failures.entrySet().removeIf(entry -> {
            boolean blamed = failsEverywhere(entry.getKey());
            if (blamed) {
                standing.unproved = Math.max(0, standing.unproved - entry.getValue());
            }
            return blamed;
        });
    }

    private Standing<J> standing(WorkerId worker) {
        return workers.computeIfAbsent(worker, key -> new Standing<>());
    }

    /** Holds what speaks for and against a worker since a task last ran well there. */
    private static final class Standing<J> {
        private final Map<J, Integer> failures = new HashMap<>();
        private boolean proved;
        private int unproved;
        private long failedNanos;
        private int quarantines;
        private boolean quarantined;
        private long quarantinedUntilNanos;
    }

    private static final class JobRecord {
        private final Set<WorkerId> failedOn = new HashSet<>();
        private final Set<WorkerId> succeededOn = new HashSet<>();
    }
}
