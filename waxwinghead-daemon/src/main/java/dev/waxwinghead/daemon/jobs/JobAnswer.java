package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.job.JobState;
import java.util.Optional;

/** Lists the answers to calls about jobs. */
public sealed interface JobAnswer {
    /** The job is accepted and stored. */
    record Accepted() implements JobAnswer {}

    /**
     * The job is known.
     *
     * @param state its state
     */
    record Known(JobState state) implements JobAnswer {}

    /** No such job exists. */
    record Absent() implements JobAnswer {}

    /**
     * So many accepted jobs of the class have started no task.
     *
     * @param jobs the number, from 0
     */
    record Queued(int jobs) implements JobAnswer {}

    /**
     * This host is not the acting scheduler, and did nothing.
     *
     * @param leader the host that may be, if one is known
     */
    record NotActing(Optional<HostId> leader) implements JobAnswer {}
}
