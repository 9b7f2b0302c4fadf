package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;

/**
 * Identifies one life of a worker: a worker that starts again under its id holds nothing of its earlier life.
 *
 * @param worker the worker
 * @param startedEpochMillis when this life began, in wall-clock milliseconds of the worker
 * @since 0.2
 */
public record WorkerLife(WorkerId worker, long startedEpochMillis) {}
