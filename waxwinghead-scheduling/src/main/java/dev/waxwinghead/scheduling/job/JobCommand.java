package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import java.util.List;

/**
 * Lists the commands that change the job table.
 *
 * @since 0.2
 */
public sealed interface JobCommand {
    /**
     * Makes a host the acting scheduler. Its epoch is the index of this command in the log.
     *
     * @param host the host
     */
    record Acquire(HostId host) implements JobCommand {}

    /**
     * Accepts a job. A job whose id is known stays as it is.
     *
     * @param submission the job
     * @param terms the terms of its class
     * @param acceptedEpochMillis when it was accepted, in wall-clock milliseconds of the accepting host
     */
    record Accept(JobSubmission submission, JobTerms terms, long acceptedEpochMillis) implements JobCommand {}

    /**
     * Cancels a job, also one that is not known yet.
     *
     * @param job the job
     */
    record Cancel(JobId job) implements JobCommand {}

    /**
     * Carries out transitions if the epoch is the newest.
     *
     * @param epoch the epoch of the acting scheduler
     * @param transitions the transitions, in order
     */
    record Advance(long epoch, List<JobTransition> transitions) implements JobCommand {
        /** Copies the list. */
        public Advance {
            transitions = List.copyOf(transitions);
        }
    }
}
