package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;

/**
 * Identifies a task of a job.
 *
 * @param job the job
 * @param occurrence the occurrence, from 0
 * @param step the step, from 0
 * @param index the task's position in its step, from 0
 * @since 0.2
 */
public record TaskKey(JobId job, int occurrence, int step, int index) {
    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
