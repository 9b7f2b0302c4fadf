package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.id.TaskId;

/**
 * Reports one task in a poll.
 *
 * @param task the task
 * @param attempt the attempt
 * @param state the task's state
 * @param usage the newest measurement; null before the first
 * @param checkpoint the newest checkpoint; null if there is none
 * @param exitMessage why the task ended; null while it runs
 */
record TaskReport(TaskId task, int attempt, TaskPhase state, Usage usage, String checkpoint, String exitMessage) {}
