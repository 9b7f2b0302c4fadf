package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;

/**
 * Describes a live attempt of a task.
 *
 * @param number the attempt's number, from 1; never used again for the same task
 * @param worker the worker it was given to
 * @param incarnation the incarnation of the worker
 * @param resources what it holds of the worker
 * @param revision the revision of the owner's manifest that it runs
 * @since 0.1
 */
public record Attempt(int number, WorkerId worker, long incarnation, Resources resources, long revision) {}
