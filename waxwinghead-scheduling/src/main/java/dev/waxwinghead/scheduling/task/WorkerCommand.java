package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import java.util.Map;

/**
 * Tells a worker what to do with one attempt. Commands are idempotent by task and attempt.
 *
 * @since 0.1
 */
public sealed interface WorkerCommand {
    /**
     * Starts an attempt.
     *
     * @param task the task
     * @param attempt the attempt
     * @param resources what it may hold
     * @param settings passed to the task
     * @param service the terms of the service that it belongs to; null for a job's task
     * @param checkpoint where it resumes; null to start afresh
     */
    record Start(
            TaskId task,
            int attempt,
            Resources resources,
            Map<String, String> settings,
            ServiceTerms service,
            String checkpoint)
            implements WorkerCommand {}

    /**
     * Stops an attempt.
     *
     * @param task the task
     * @param attempt the attempt
     * @param graceMillis how long it may take to end by itself, in milliseconds
     */
    record Stop(TaskId task, int attempt, long graceMillis) implements WorkerCommand {}

    /**
     * Writes a checkpoint of an attempt.
     *
     * @param task the task
     * @param attempt the attempt
     */
    record Checkpoint(TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Bounds the processor time of an attempt.
     *
     * @param task the task
     * @param attempt the attempt
     * @param millicores the bound
     */
    record Throttle(TaskId task, int attempt, long millicores) implements WorkerCommand {}

    /**
     * Lets the worker forget an attempt that has ended.
     *
     * @param task the task
     * @param attempt the attempt
     */
    record Acknowledge(TaskId task, int attempt) implements WorkerCommand {}
}
