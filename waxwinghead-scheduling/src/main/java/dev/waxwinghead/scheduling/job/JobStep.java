package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;

/**
 * Describes one step of a job: a number of equal tasks.
 *
 * @param count how many tasks it has, from 1
 * @param need what each task needs
 * @param estimateMillis a rough estimate of how long a task works, in milliseconds; 0 if unknown
 * @param after the earlier steps whose tasks must all have completed first, by position from 0
 * @param checkpoints whether its tasks save their progress
 * @param gang whether its tasks run only all together and complete together
 * @param sameRack whether its tasks run slower when they are spread over racks
 * @param requiredLabel the label that a worker must have, empty if any will do
 * @param dataRack the rack near which its tasks run fastest, empty if there is none
 * @param maxPerWorker how many of its tasks may run on one worker, 0 for no bound
 * @param speculative whether copies of a task may run at the same time
 * @param lasting whether its tasks run until the job is canceled
 * @param image what its tasks run, empty if unknown; tasks of one image behave alike
 * @param targetMillis the response time that its tasks' tail must stay below, in milliseconds; 0 for none
 * @param bestEffort whether its tasks use what the others on a worker leave unused
 * @param maxUnavailable how many of its tasks the scheduler may keep from work at the same time, 0 for no bound
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
    /** How many tasks a step may have. */
    public static final int MAX_TASKS = 10_000;

    /** The longest duration that a step may name, in milliseconds: some thirty years. */
    public static final long MAX_MILLIS = 1_000_000_000_000L;

    /** Copies the list and checks the bounds. */
    public JobStep {
        after = List.copyOf(after);
        if (count < 1 || count > MAX_TASKS) {
            throw invalid("a step has " + count + " tasks", "give it 1 to " + MAX_TASKS);
        }
        if (estimateMillis > MAX_MILLIS || targetMillis > MAX_MILLIS) {
            throw invalid("a duration of a step is out of bounds", "give at most " + MAX_MILLIS + " ms");
        }
        if (estimateMillis < 0 || targetMillis < 0 || maxPerWorker < 0 || maxUnavailable < 0) {
            throw invalid("a figure of a step is negative", "give figures of 0 or more");
        }
    }

    /**
     * Tells whether its tasks answer users and so have a latency target.
     *
     * @return true if they do
     */
    public boolean serves() {
        return lasting && targetMillis > 0;
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
