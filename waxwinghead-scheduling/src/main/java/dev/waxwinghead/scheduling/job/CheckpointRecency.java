package dev.waxwinghead.scheduling.job;

/**
 * Ranks the checkpoints that the members of a gang have saved in one attempt; a higher rank is later. The members work
 * in step, so none has saved a later checkpoint than the members had when the attempt broke up. Ranks are part of
 * stored data and never change.
 *
 * @since 0.3
 */
public final class CheckpointRecency {
    /** The rank of a checkpoint of which nothing is known. */
    public static final int UNKNOWN = 0;

    /** The rank of the checkpoint that a member had when it ended. */
    public static final int AT_END = 200;

    /** The rank of the checkpoint that a member saved because it was stopped. */
    public static final int AT_STOP = 300;

    private CheckpointRecency() {}

    /**
     * Returns the rank of a checkpoint that was listed while the member was running.
     *
     * @param percent the member's progress, 0 to 100
     * @return the rank, higher with more progress
     */
    public static int whileRunning(int percent) {
        return 1 + Math.max(0, Math.min(100, percent));
    }

    static int of(WorkerReport.ReportedEnd end) {
        return end == WorkerReport.ReportedEnd.STOPPED ? AT_STOP : AT_END;
    }
}
