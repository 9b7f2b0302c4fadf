package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;

/**
 * Identifies an incarnation of a worker: a worker that restarts with the same id keeps no runs of its earlier
 * incarnation.
 *
 * @param worker the worker
 * @param startedEpochMillis when this incarnation started, in wall-clock milliseconds of the worker
 * @since 0.2
 */
public record WorkerIncarnation(WorkerId worker, long startedEpochMillis) {}
