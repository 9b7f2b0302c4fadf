package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;

/**
 * Lists the changes that the acting scheduler makes to jobs.
 *
 * @since 0.2
 */
public sealed interface JobTransition {
    /**
     * Starts a run of a task. It has no effect if the task may not start, or not as this attempt.
     *
     * @param run the run
     * @param worker where it runs
     */
    record Started(RunKey run, WorkerLife worker) implements JobTransition {}

    /**
     * Ends a run. It has no effect if the run is not live.
     *
     * @param run the run
     * @param end how it ended
     * @param checkpoint what the task saved last, empty if nothing
     */
    record Ended(RunKey run, RunEnd end, String checkpoint) implements JobTransition {}

    /**
     * Forgets a job that ended long ago.
     *
     * @param job the job
     */
    record Forgotten(JobId job) implements JobTransition {}
}
