package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;

/**
 * Holds the terms of a job's class at the time the job was accepted.
 *
 * @param jobClass the class
 * @param service the service whose workers run its tasks
 * @param priority 0 goes first
 * @param attempts after how many failures of one task the job fails, from 1
 * @param stretch how much longer than its longest chain of work a job may take
 * @param objectiveMillis the time allowed beside the stretched chain, in milliseconds
 * @since 0.2
 */
public record JobTerms(
        JobClassName jobClass, ServiceName service, int priority, int attempts, double stretch, long objectiveMillis) {
    /** After how many times its objective a late job is worth nothing. */
    private static final int WORTHLESS_AFTER_OBJECTIVES = 3;

    /** The longest objective, in milliseconds: 30,000 years, so that no due time overflows. */
    private static final double MAX_MILLIS = 1e15;

    /**
     * Returns how long a job may take to meet its objective.
     *
     * @param submission the job
     * @return the time in milliseconds
     */
    public long objectiveMillis(JobSubmission submission) {
        double millis = stretch * submission.chainMillis() + objectiveMillis;
        return Math.round(Math.max(0, Math.min(MAX_MILLIS, millis)));
    }

    /**
     * Returns after how long a job is worth nothing to its caller.
     *
     * @param submission the job
     * @return the time in milliseconds
     */
    public long worthlessAfterMillis(JobSubmission submission) {
        return WORTHLESS_AFTER_OBJECTIVES * objectiveMillis(submission);
    }
}
