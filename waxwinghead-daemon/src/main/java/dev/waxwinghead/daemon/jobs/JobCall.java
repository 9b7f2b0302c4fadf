package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobStep;
import java.util.List;

/** A call of a caller about jobs. */
public sealed interface JobCall {
    /**
     * Returns the target of the call.
     *
     * @return the target, never null
     */
    JobTarget target();

    /**
     * Returns whether the call may change state.
     *
     * @return false for a read-only call
     */
    default boolean changes() {
        return true;
    }

    /**
     * Submits a job. The call is idempotent.
     *
     * @param target the class and the job's id
     * @param payload the payload that workers receive with each start of a task
     * @param steps the steps of the job
     * @param schedule the schedule on which the steps run
     */
    record Submit(JobTarget target, String payload, List<JobStep> steps, JobSchedule schedule) implements JobCall {
        /** Copies the list of steps. */
        public Submit {
            steps = List.copyOf(steps);
        }
    }

    /**
     * Reads the state of a job, or the number of waiting jobs of a class.
     *
     * @param target the class and the job's id, or the class alone
     */
    record Read(JobTarget target) implements JobCall {
        @Override
        public boolean changes() {
            return false;
        }
    }

    /**
     * Cancels a job.
     *
     * @param target the class and the job's id
     */
    record Cancel(JobTarget target) implements JobCall {}
}
