package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.job.JobState;
import java.util.Optional;

/** An answer to a {@link JobCall}. */
public sealed interface JobAnswer {
    /** States that the job is accepted and stored. */
    record Accepted() implements JobAnswer {}

    /**
     * States that the job is known.
     *
     * @param state the state of the job
     */
    record Known(JobState state) implements JobAnswer {}

    /** States that no such job exists. */
    record Absent() implements JobAnswer {}

    /**
     * Gives the number of accepted jobs of a class that have not started a task.
     *
     * @param jobs the number of jobs, 0 or more
     */
    record Queued(int jobs) implements JobAnswer {}

    /**
     * States that the host is not the acting scheduler and that the call had no effect.
     *
     * @param leader the host that may be the acting scheduler, or empty if unknown
     */
    record NotActing(Optional<HostId> leader) implements JobAnswer {}

    /**
     * States that the host acts as the scheduler in another epoch than that of the attempt, and that the attempt had no
     * effect.
     *
     * @param epoch the epoch in which the host acts
     */
    record OtherEpoch(long epoch) implements JobAnswer {}

    /**
     * States that the acting scheduler refuses the call, and that neither this nor an earlier attempt of the call has
     * had or will have an effect.
     *
     * @param kind the kind of the refusal
     * @param reason the reason, without the remedy
     * @param remedy an instruction that tells the caller how to resolve the refusal
     */
    record Refused(ErrorKind kind, String reason, String remedy) implements JobAnswer {}
}
