package dev.waxwinghead.scheduling.job;

import java.util.List;

/**
 * Holds the answer to a worker's report: the lease, and the runs to start, stop and throttle.
 *
 * @param leaseMillis how long the worker may keep its tasks running, in milliseconds from the sending of the report; 0
 *     if the lease is not extended
 * @param acknowledged the highest number of an end that is committed; the worker no longer reports ends up to it
 * @param fence the epoch of the scheduler; the worker rejects answers with a lower epoch afterwards
 * @param starts the runs to start unless they are already running
 * @param stops the runs to stop
 * @param throttles the limits on the speed of runs
 * @param nextReportMillis the time until the next report, in milliseconds
 * @since 0.2
 */
public record WorkerInstructions(
        long leaseMillis,
        long acknowledged,
        long fence,
        List<Start> starts,
        List<RunKey> stops,
        List<Throttle> throttles,
        long nextReportMillis) {
    /** Copies the lists. */
    public WorkerInstructions {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
        throttles = List.copyOf(throttles);
    }

    /**
     * Instructs a worker to start a run.
     *
     * @param run the run
     * @param payload the payload of the job submission
     * @param checkpoint the checkpoint to resume from, empty to start from the beginning
     */
    public record Start(RunKey run, String payload, String checkpoint) {}

    /**
     * Limits the speed of a run.
     *
     * @param run the run
     * @param percent the percentage of full speed, 0 to 100
     */
    public record Throttle(RunKey run, int percent) {}
}
