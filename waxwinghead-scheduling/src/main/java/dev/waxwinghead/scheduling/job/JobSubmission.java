package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.JobId;
import java.util.List;

/**
 * Holds a job as submitted by its caller.
 *
 * @param id the id chosen by the caller
 * @param payload the payload that workers receive with each start of a task
 * @param steps the steps, each after the steps that it depends on
 * @param schedule how often and when the steps run
 * @since 0.2
 */
public record JobSubmission(JobId id, String payload, List<JobStep> steps, JobSchedule schedule) {
    /** The maximum number of steps of a job. */
    public static final int MAX_STEPS = 100;

    /**
     * The maximum number of tasks over all occurrences of a job: each task takes about 100 bytes on every replica of
     * the table.
     */
    public static final int MAX_TASKS = 100_000;

    /** Copies the list and validates the limits, and that steps depend on earlier steps only. */
    public JobSubmission {
        steps = List.copyOf(steps);
        if (steps.isEmpty() || steps.size() > MAX_STEPS) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "job " + id + " has " + steps.size() + " steps",
                    "give it 1 to " + MAX_STEPS);
        }
        long tasks = steps.stream().mapToLong(JobStep::count).sum() * schedule.occurrences();
        if (tasks > MAX_TASKS) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "job " + id + " has " + tasks + " tasks over all its occurrences",
                    "give it at most " + MAX_TASKS);
        }
        for (int position = 0; position < steps.size(); position++) {
            checkOrder(id, position, steps.get(position));
        }
    }

    /**
     * Returns the estimated duration of the critical path.
     *
     * @return the duration in milliseconds
     */
    public long criticalPathMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int position = 0; position < ends.length; position++) {
            JobStep step = steps.get(position);
            long earliestStart = 0;
            for (int earlier : step.after()) {
                earliestStart = Math.max(earliestStart, ends[earlier]);
            }
            ends[position] = earliestStart + step.estimateMillis();
            longest = Math.max(longest, ends[position]);
        }
        return longest;
    }

    private static void checkOrder(JobId id, int position, JobStep step) {
        for (int earlier : step.after()) {
            if (earlier < 0 || earlier >= position) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "step " + position + " of job " + id + " depends on step " + earlier,
                        "let a step depend on earlier steps only, counted from 0");
            }
        }
    }
}
