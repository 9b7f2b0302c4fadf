package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;

/**
 * A live attempt of a task.
 *
 * @param number the number of the attempt, from 1; never reused for the same task
 * @param worker the worker on which the attempt was placed
 * @param incarnation the incarnation of the worker
 * @param resources the resources committed for the attempt
 * @param revision the revision of the owner's manifest that the attempt runs
 * @since 0.1
 */
public record Attempt(int number, WorkerId worker, long incarnation, Resources resources, long revision) {}
