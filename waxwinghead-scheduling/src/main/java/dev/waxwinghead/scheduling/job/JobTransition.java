package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;

/**
 * A change that the acting scheduler makes to a job.
 *
 * @since 0.2
 */
public sealed interface JobTransition {
    /**
     * Starts a run of a task. The transition has no effect if the task may not start, or not with this attempt number.
     *
     * @param run the run
     * @param worker the worker that runs the task
     */
    record Started(RunKey run, WorkerIncarnation worker) implements JobTransition {}

    /**
     * Ends a run. The transition has no effect if the run is not live.
     *
     * @param run the run
     * @param end how the run ended
     * @param checkpoint the latest checkpoint of the task, empty if there is none
     */
    record Ended(RunKey run, RunEnd end, String checkpoint) implements JobTransition {}

    /**
     * Removes a job whose retention period after its end is over.
     *
     * @param job the job
     */
    record Removed(JobId job) implements JobTransition {}
}
