package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;

/**
 * Describes a step of a job: a number of identical tasks.
 *
 * @param count the number of tasks, from 1
 * @param need the resources that each task needs
 * @param estimateMillis a rough estimate of the duration of a task, in milliseconds; 0 if unknown
 * @param after the positions, from 0, of the earlier steps that must have completed before this step starts
 * @param checkpoints whether the tasks save their progress
 * @param gang whether the tasks must all run at the same time and complete together
 * @param sameRack whether the tasks run slower when spread over racks
 * @param requiredLabel the label that a worker must have, empty if any worker is suitable
 * @param dataRack the rack that holds the data of the tasks, where they run fastest; empty if there is none
 * @param maxPerWorker the maximum number of tasks on one worker, 0 for no limit
 * @param speculative whether copies of a task may run at the same time
 * @param lasting whether the tasks run until the job is canceled
 * @param image the image that the tasks run, empty if unknown; tasks of one image behave alike
 * @param targetMillis the target for the tail of the tasks' response time, in milliseconds; 0 for none
 * @param bestEffort whether the tasks use only resources that other tasks on a worker leave unused
 * @param maxUnavailable the maximum number of tasks that the scheduler may make unavailable at a time, 0 for no limit
 * @since 0.2
 */
public record JobStep(
        int count,
        Resources need,
        long estimateMillis,
        List<Integer> after,
        boolean checkpoints,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean lasting,
        String image,
        long targetMillis,
        boolean bestEffort,
        int maxUnavailable) {
    /** The maximum number of tasks of a step. */
    public static final int MAX_TASKS = 10_000;

    /** The maximum duration in a step, in milliseconds: about 30 years. */
    public static final long MAX_MILLIS = 1_000_000_000_000L;

    /** Copies the list and validates the values. */
    public JobStep {
        after = List.copyOf(after);
        if (count < 1 || count > MAX_TASKS) {
            throw invalid("a step has " + count + " tasks", "give it 1 to " + MAX_TASKS);
        }
        if (estimateMillis > MAX_MILLIS || targetMillis > MAX_MILLIS) {
            throw invalid("a duration of a step is too long", "give at most " + MAX_MILLIS + " ms");
        }
        if (estimateMillis < 0 || targetMillis < 0 || maxPerWorker < 0 || maxUnavailable < 0) {
            throw invalid("a duration or a limit of a step is negative", "give durations and limits of 0 or more");
        }
    }

    /**
     * Returns whether the tasks serve user requests and so have a latency target.
     *
     * @return true if the tasks are lasting and have a target
     */
    public boolean serves() {
        return lasting && targetMillis > 0;
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
