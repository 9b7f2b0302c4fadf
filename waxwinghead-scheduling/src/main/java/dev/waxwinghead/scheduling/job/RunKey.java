package dev.waxwinghead.scheduling.job;

/**
 * Identifies a run of a task.
 *
 * @param task the task
 * @param attempt the number of the run among the task's runs, from 1
 * @since 0.2
 */
public record RunKey(TaskKey task, int attempt) {}
