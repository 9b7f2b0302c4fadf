package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import java.util.List;

/**
 * Holds what a worker says when it polls.
 *
 * @param worker the worker
 * @param incarnation rises with each restart of the worker
 * @param sequence rises with each poll of one incarnation; 0 if the worker does not number its polls
 * @param schedulerTerm the highest scheduler's term that the worker has seen
 * @param leaving whether it wants nothing new
 * @param tasks every task that it has
 * @since 0.1
 */
public record PollReport(
        WorkerDescription worker,
        long incarnation,
        long sequence,
        long schedulerTerm,
        boolean leaving,
        List<TaskReport> tasks) {
    /** Copies the list. */
    public PollReport {
        tasks = List.copyOf(tasks);
    }

    /**
     * Describes one task that a worker has.
     *
     * @param task the task
     * @param attempt the attempt
     * @param phase what the worker does with it
     * @param usage what it was seen to use; null if that was not measured
     * @param checkpoint its newest checkpoint; null if there is none
     * @param message what it said when it ended; null if nothing
     */
    public record TaskReport(TaskId task, int attempt, Phase phase, Usage usage, String checkpoint, String message) {}

    /**
     * Holds a measurement of a task.
     *
     * @param millicores the processor time used
     * @param memoryBytes the memory used
     * @param measuredAgoNanos how long ago it was measured
     * @param latencyRatio for a task of a service, its tail latency as a multiple of the target; 0 if unknown
     */
    public record Usage(long millicores, long memoryBytes, long measuredAgoNanos, double latencyRatio) {}

    /** Lists what a worker can do with a task. */
    public enum Phase {
        /** It is being started. */
        STARTING,
        /** It runs. */
        RUNNING,
        /** It runs, and has just written a checkpoint. */
        CHECKPOINTED,
        /** It ran to completion. */
        COMPLETED,
        /** It failed. */
        FAILED,
        /** The worker stopped it. */
        STOPPED;

        /**
         * Tells whether the attempt is over.
         *
         * @return true if the task no longer runs
         */
        public boolean ended() {
            return this == COMPLETED || this == FAILED || this == STOPPED;
        }
    }
}
