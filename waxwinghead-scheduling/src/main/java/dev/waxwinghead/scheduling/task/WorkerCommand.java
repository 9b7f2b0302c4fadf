package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import java.util.Map;

/**
 * A command to a worker about one attempt. Commands are idempotent by task and attempt.
 *
 * @since 0.1
 */
public sealed interface WorkerCommand {
    /**
     * Starts an attempt.
     *
     * @param task the id of the task
     * @param attempt the number of the attempt
     * @param resources the resources that the attempt may use
     * @param settings the settings to pass to the task
     * @param service the parameters of the service that the task announces; null for a task of a job
     * @param checkpoint the checkpoint to resume from; null to start from the beginning
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
     * @param task the id of the task
     * @param attempt the number of the attempt
     * @param graceMillis how long the attempt may take to end by itself, in milliseconds
     */
    record Stop(TaskId task, int attempt, long graceMillis) implements WorkerCommand {}

    /**
     * Writes a checkpoint of an attempt.
     *
     * @param task the id of the task
     * @param attempt the number of the attempt
     */
    record Checkpoint(TaskId task, int attempt) implements WorkerCommand {}

    /**
     * Limits the processor time of an attempt.
     *
     * @param task the id of the task
     * @param attempt the number of the attempt
     * @param millicores the limit, in millicores
     */
    record Throttle(TaskId task, int attempt, long millicores) implements WorkerCommand {}

    /**
     * Acknowledges an ended attempt, which the worker may then stop reporting.
     *
     * @param task the id of the task
     * @param attempt the number of the attempt
     */
    record Acknowledge(TaskId task, int attempt) implements WorkerCommand {}
}
