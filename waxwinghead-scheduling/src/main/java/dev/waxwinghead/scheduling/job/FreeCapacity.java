package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;

/**
 * Holds the capacity of a worker that is free beside its tasks and the capacity reserved for others.
 *
 * @param worker the worker
 * @param free the free capacity
 * @since 0.3
 */
public record FreeCapacity(WorkerId worker, Resources free) {}
