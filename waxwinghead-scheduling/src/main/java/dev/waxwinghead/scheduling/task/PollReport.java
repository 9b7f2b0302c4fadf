package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import java.util.List;

/**
 * The report that a worker sends with a poll.
 *
 * @param worker the description of the worker
 * @param incarnation the incarnation of the worker, which increases with each restart
 * @param sequence the number of the poll, which increases within one incarnation; 0 if the worker does not number its
 *     polls
 * @param schedulerTerm the highest scheduler term that the worker has seen
 * @param leaving whether the worker is leaving and takes no new tasks
 * @param tasks all tasks on the worker, including ended ones that have not been acknowledged; never null
 * @since 0.1
 */
public record PollReport(
        WorkerDescription worker,
        long incarnation,
        long sequence,
        long schedulerTerm,
        boolean leaving,
        List<TaskReport> tasks) {
    /** Copies the list of tasks. */
    public PollReport {
        tasks = List.copyOf(tasks);
    }

    /**
     * The state of one task on a worker.
     *
     * @param task the id of the task
     * @param attempt the number of the attempt
     * @param phase the phase of the attempt
     * @param usage the measured usage; null if there is no measurement
     * @param checkpoint the newest checkpoint; null if there is none
     * @param message the exit message; null if there is none
     */
    public record TaskReport(TaskId task, int attempt, Phase phase, Usage usage, String checkpoint, String message) {}

    /**
     * A measurement of a task.
     *
     * @param millicores the processor time used, in millicores
     * @param memoryBytes the memory used, in bytes
     * @param measuredAgoNanos the age of the measurement, in nanoseconds
     * @param latencyRatio the tail latency of a service's task as a multiple of the target; 0 if unknown
     */
    public record Usage(long millicores, long memoryBytes, long measuredAgoNanos, double latencyRatio) {}

    /** The phases of an attempt on a worker. */
    public enum Phase {
        /** The attempt is being started. */
        STARTING,
        /** The attempt is running. */
        RUNNING,
        /** The attempt is running and has just written a checkpoint. */
        CHECKPOINTED,
        /** The attempt ran to completion. */
        COMPLETED,
        /** The attempt failed. */
        FAILED,
        /** The worker stopped the attempt. */
        STOPPED;

        /**
         * Returns whether the attempt has ended.
         *
         * @return true if the attempt is no longer running
         */
        public boolean ended() {
            return this == COMPLETED || this == FAILED || this == STOPPED;
        }
    }
}
