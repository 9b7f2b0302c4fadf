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
     * @param recency for a member of a gang, the rank of the checkpoint among those of the attempt, see
     *     {@link CheckpointRecency}
     */
    record Ended(RunKey run, RunEnd end, String checkpoint, int recency) implements JobTransition {
        /**
         * Creates the end of a run whose checkpoint has no known rank.
         *
         * @param run the run
         * @param end how the run ended
         * @param checkpoint the latest checkpoint of the task, empty if there is none
         */
        public Ended(RunKey run, RunEnd end, String checkpoint) {
            this(run, end, checkpoint, CheckpointRecency.UNKNOWN);
        }
    }

    /**
     * Records that a worker has listed a run of a job, which counts as queued until then. The transition has no effect
     * if the job has begun or is not known.
     *
     * @param job the job
     * @since 0.3
     */
    record Begun(JobId job) implements JobTransition {}

    /**
     * Records that a worker has not reported for a while: the scheduler has not extended its lease since it planned
     * this transition, and no scheduler does until {@link Returned} is applied. The transition has no effect if the
     * worker has no live runs.
     *
     * @param worker the worker's incarnation
     * @since 0.3
     */
    record Silent(WorkerIncarnation worker) implements JobTransition {}

    /**
     * Records that a silent worker has reported again, so that its lease may be extended. The transition has no effect
     * if the worker is not silent.
     *
     * @param worker the worker's incarnation
     * @since 0.3
     */
    record Returned(WorkerIncarnation worker) implements JobTransition {}

    /**
     * Removes a job whose retention period after its end is over.
     *
     * @param job the job
     */
    record Removed(JobId job) implements JobTransition {}
}
