package dev.waxwinghead.scheduling.eviction;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;

/**
 * A live task that may be evicted to free resources.
 *
 * @param task the id of the task
 * @param resources the resources that its eviction frees
 * @param borrowed whether its team uses more than its quota
 * @param priority the priority of the task; tasks of lower priority are evicted first
 * @param lostWorkNanos the run time that would have to be repeated after an eviction, in nanoseconds
 * @since 0.1
 */
public record Victim(TaskId task, Resources resources, boolean borrowed, int priority, long lostWorkNanos) {}
