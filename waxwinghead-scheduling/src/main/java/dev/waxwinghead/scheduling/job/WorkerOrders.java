package dev.waxwinghead.scheduling.job;

import java.util.List;

/**
 * Holds the answer to a worker's report.
 *
 * @param leaseMillis for how long everything may run on, in milliseconds from the sending of the report
 * @param acknowledged up to which number the worker may forget its ends
 * @param fence the epoch of the scheduler; the worker obeys no lower one afterwards
 * @param starts what to start unless it runs already
 * @param stops what to stop
 * @param paces at which share of their speed tasks work
 * @param nextReportMillis after how long the worker reports again, in milliseconds
 * @since 0.2
 */
public record WorkerOrders(
        long leaseMillis,
        long acknowledged,
        long fence,
        List<Start> starts,
        List<RunKey> stops,
        List<Pace> paces,
        long nextReportMillis) {
    /** Copies the lists. */
    public WorkerOrders {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
        paces = List.copyOf(paces);
    }

    /**
     * Tells a worker to start a run.
     *
     * @param run the run
     * @param payload what the job's caller submitted for the workers
     * @param checkpoint where to resume, empty for the beginning
     */
    public record Start(RunKey run, String payload, String checkpoint) {}

    /**
     * Tells a worker how fast a run may work.
     *
     * @param run the run
     * @param percent the share of its full speed, from 0 to 100
     */
    public record Pace(RunKey run, int percent) {}
}
