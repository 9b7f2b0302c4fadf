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
    /** In place of an index: the command applies whatever was applied before. */
    long ANY = Long.MAX_VALUE;

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
     * centre is drained, or if it was drained or undrained by a later command than the sender knew.
     *
     * @param dataCentre the data centre
     * @param latestKnown the index of the latest drain or undrain of the data centre that the sender knew when it
     *     received the order, 0 if there was none, or {@link #ANY} to apply the command in any case
     * @since 0.3
     */
    record Drain(DataCentreId dataCentre, long latestKnown) implements JobCommand {
        /**
         * Returns a command that applies in any case, as those of hosts of earlier versions do.
         *
         * @param dataCentre the data centre
         */
        public Drain(DataCentreId dataCentre) {
            this(dataCentre, ANY);
        }
    }

    /**
     * Reverts the drain of a data centre. The command has no effect if the data centre is not drained, or if it was
     * drained or undrained by a later command than the sender knew.
     *
     * @param dataCentre the data centre
     * @param latestKnown as for {@link Drain}
     * @since 0.3
     */
    record Undrain(DataCentreId dataCentre, long latestKnown) implements JobCommand {
        /**
         * Returns a command that applies in any case, as those of hosts of earlier versions do.
         *
         * @param dataCentre the data centre
         */
        public Undrain(DataCentreId dataCentre) {
            this(dataCentre, ANY);
        }
    }

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

    /**
     * Applies a command if the epoch is that of the acting scheduler. A command that reaches the log late, through a
     * host that was paused or has lost the leadership, has no effect once another scheduler has taken over.
     *
     * @param epoch the epoch of the scheduler that received the request for the command
     * @param command the command to apply, itself not an {@code InEpoch}
     */
    record InEpoch(long epoch, JobCommand command) implements JobCommand {}
}
