package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;

/**
 * Holds the terms that a job's class had when the job was accepted.
 *
 * @param jobClass the class
 * @param service the service whose workers run the job's tasks
 * @param priority the priority; 0 is the highest
 * @param attempts the number of failures of one task after which the job fails, from 1
 * @param stretch the allowed duration of a job as a multiple of its critical path
 * @param objectiveMillis the time allowed in addition to the stretched critical path, in milliseconds
 * @since 0.2
 */
public record JobTerms(
        JobClassName jobClass, ServiceName service, int priority, int attempts, double stretch, long objectiveMillis) {
    /** The multiple of its objective after which the result of a late job is no longer useful. */
    private static final int EXPIRY_OBJECTIVES = 3;

    /** The longest objective, in milliseconds: 30,000 years, so that due times do not overflow. */
    private static final double MAX_MILLIS = 1e15;

    /**
     * Returns the maximum duration with which a job meets its objective.
     *
     * @param submission the job
     * @return the duration in milliseconds
     */
    public long objectiveMillis(JobSubmission submission) {
        double millis = stretch * submission.criticalPathMillis() + objectiveMillis;
        return Math.round(Math.max(0, Math.min(MAX_MILLIS, millis)));
    }

    /**
     * Returns the duration after which the result of a job is no longer useful to its caller.
     *
     * @param submission the job
     * @return the duration in milliseconds
     */
    public long expiryMillis(JobSubmission submission) {
        return EXPIRY_OBJECTIVES * objectiveMillis(submission);
    }
}
