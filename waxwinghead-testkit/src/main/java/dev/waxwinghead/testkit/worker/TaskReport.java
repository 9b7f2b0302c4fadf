package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.TaskId;

/**
 * Represents the state of one attempt of a task in a poll.
 *
 * @param task the task
 * @param attempt the number of the attempt
 * @param state the state of the attempt
 * @param usage the newest measurement, null before the first
 * @param checkpoint the newest checkpoint, null if there is none
 * @param exitMessage the reason for the end, null while the attempt runs
 */
record TaskReport(TaskId task, int attempt, TaskPhase state, Usage usage, String checkpoint, String exitMessage) {}
