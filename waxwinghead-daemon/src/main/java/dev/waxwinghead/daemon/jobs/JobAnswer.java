package dev.waxwinghead.daemon.jobs;

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
}
