package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.HashMap;
import java.util.Map;

/** Finds the jobs that have had no running task for as long as a task runs on trial, although a task waits. */
final class StarvedJobs {
    private final Map<JobId, Long> waitingSinceNanos = new HashMap<>();

    /**
     * Records that a task of a job without running tasks waits.
     *
     * @param job the job
     * @param now the current time, in nanoseconds
     * @return true if this has been so for the time of a trial
     */
    boolean waits(JobId job, long now) {
        Long since = waitingSinceNanos.putIfAbsent(job, now);
        return since != null && now - since >= WorkerHealth.TRIAL_NANOS;
    }

    /** Records that a job has a running task, or has ended. */
    void remove(JobId job) {
        waitingSinceNanos.remove(job);
    }

    void clear() {
        waitingSinceNanos.clear();
    }
}
