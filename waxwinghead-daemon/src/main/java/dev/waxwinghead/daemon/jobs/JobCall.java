package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobStep;
import java.util.List;

/** Lists the calls of callers about jobs. */
public sealed interface JobCall {
    /**
     * Returns what the call is about.
     *
     * @return the target, never null
     */
    JobTarget target();

    /**
     * Tells whether the call may change anything.
     *
     * @return false for a call that only reads
     */
    default boolean changes() {
        return true;
    }

    /**
     * Submits a job. The same call may be sent again.
     *
     * @param target the class and the job's id
     * @param payload what the workers are given with each start of a task
     * @param steps the steps
     * @param schedule how often and when the steps run
     */
    record Submit(JobTarget target, String payload, List<JobStep> steps, JobSchedule schedule) implements JobCall {
        /** Copies the list. */
        public Submit {
            steps = List.copyOf(steps);
        }
    }

    /**
     * Asks for the state of a job, or for how many jobs of a class wait.
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
