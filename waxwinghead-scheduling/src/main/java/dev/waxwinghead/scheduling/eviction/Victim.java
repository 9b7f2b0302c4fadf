package dev.waxwinghead.scheduling.eviction;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes a task that might make room.
 *
 * @param task the task
 * @param resources what its end sets free
 * @param borrowed whether its team holds more than its quota
 * @param priority its priority; lower ones go first
 * @param lostWorkNanos how much of its work would have to be done again, in nanoseconds
 * @since 0.1
 */
public record Victim(TaskId task, Resources resources, boolean borrowed, int priority, long lostWorkNanos) {}
