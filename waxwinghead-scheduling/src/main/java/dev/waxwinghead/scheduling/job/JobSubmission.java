package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.JobId;
import java.util.List;

/**
 * Holds a job as its caller submitted it.
 *
 * @param id the id that the caller chose
 * @param payload what the workers are given with each start of a task
 * @param steps the steps, each after those that it waits for
 * @param schedule how often and when the steps run
 * @since 0.2
 */
public record JobSubmission(JobId id, String payload, List<JobStep> steps, JobSchedule schedule) {
    /** How many steps a job may have. */
    public static final int MAX_STEPS = 100;

    /** How many tasks a job may have over all its occurrences: each takes some 100 bytes on every core host. */
    public static final int MAX_TASKS = 100_000;

    /** Copies the list and checks the bounds, and that steps wait for earlier ones only. */
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
     * Returns the longest chain of estimated work.
     *
     * @return the time in milliseconds
     */
    public long chainMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int position = 0; position < ends.length; position++) {
            JobStep step = steps.get(position);
            long start = step.after().stream()
                    .mapToLong(earlier -> ends[earlier])
                    .max()
                    .orElse(0);
            ends[position] = start + step.estimateMillis();
            longest = Math.max(longest, ends[position]);
        }
        return longest;
    }

    private static void checkOrder(JobId id, int position, JobStep step) {
        for (int earlier : step.after()) {
            if (earlier < 0 || earlier >= position) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "step " + position + " of job " + id + " waits for step " + earlier,
                        "let a step wait for earlier steps only, counted from 0");
            }
        }
    }
}
