package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import java.util.List;

/**
 * A command that changes the {@link JobTable}.
 *
 * @since 0.2
 */
public sealed interface JobCommand {
    /**
     * Makes a host the acting scheduler. The index of this command in the log becomes the epoch of that scheduler.
     *
     * @param host the host
     */
    record Acquire(HostId host) implements JobCommand {}

    /**
     * Accepts a job. The command has no effect if a job with the same id is known.
     *
     * @param submission the job
     * @param terms the terms of the job's class
     * @param acceptedEpochMillis when the job was accepted, in wall-clock milliseconds of the accepting host
     */
    record Accept(JobSubmission submission, JobTerms terms, long acceptedEpochMillis) implements JobCommand {}

    /**
     * Cancels a job. A job that is not known yet will not run if it is accepted later.
     *
     * @param job the job
     */
    record Cancel(JobId job) implements JobCommand {}

    /**
     * Drains a data centre: until it is undrained, no task starts on its workers. The command has no effect if the data
     * centre is drained.
     *
     * @param dataCentre the data centre
     * @since 0.3
     */
    record Drain(DataCentreId dataCentre) implements JobCommand {}

    /**
     * Reverts the drain of a data centre. The command has no effect if the data centre is not drained.
     *
     * @param dataCentre the data centre
     * @since 0.3
     */
    record Undrain(DataCentreId dataCentre) implements JobCommand {}

    /**
     * Applies transitions if the epoch is that of the acting scheduler.
     *
     * @param epoch the epoch of the scheduler that planned the transitions
     * @param transitions the transitions, in order
     */
    record Advance(long epoch, List<JobTransition> transitions) implements JobCommand {
        /** Copies the list of transitions. */
        public Advance {
            transitions = List.copyOf(transitions);
        }
    }
}
