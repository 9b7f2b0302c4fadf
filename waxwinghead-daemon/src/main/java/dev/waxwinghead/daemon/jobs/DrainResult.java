package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.scheduling.job.JobOutcome;

/**
 * Describes a committed drain or undrain of a data centre.
 *
 * @param index the index of the command in the log; of two concurrent operators, the one with the higher index is in
 *     force
 * @param outcome whether the command changed anything
 */
public record DrainResult(long index, JobOutcome outcome) {}
