package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import java.util.Set;

/**
 * Holds what a worker reports about itself.
 *
 * @param life the worker and its life
 * @param sequence rises with each report of a life
 * @param service the service whose tasks it runs
 * @param address where it listens; one process at a time holds an address
 * @param capacity what it has for tasks
 * @param labels its labels
 * @param rack its rack, empty if it names none
 * @param leaving whether it shuts down and takes no new work
 * @param remainingMillis for how long it stays at least while leaving, in milliseconds
 * @param running what runs there
 * @param ended the ends that were not acknowledged yet, by rising number
 * @since 0.2
 */
public record WorkerReport(
        WorkerLife life,
        long sequence,
        ServiceName service,
        String address,
        Resources capacity,
        Set<String> labels,
        String rack,
        boolean leaving,
        long remainingMillis,
        List<RunningTask> running,
        List<EndedRun> ended) {
    /** Copies the collections. */
    public WorkerReport {
        labels = Set.copyOf(labels);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * Describes a run that is running.
     *
     * @param run the run
     * @param checkpoint what it saved last, empty if nothing
     * @param percent how much of its work is done; a lasting task is at work at 100
     * @param gauge of a serving task the tail of its response time, in milliseconds; of any other the processor time in
     *     use, in thousandths of a core
     */
    public record RunningTask(RunKey run, String checkpoint, int percent, long gauge) {}

    /**
     * Describes a run that has ended.
     *
     * @param number the number of the end, rising from 1 within the worker's life
     * @param run the run
     * @param end how it ended
     * @param checkpoint what it saved last, empty if nothing
     */
    public record EndedRun(long number, RunKey run, ReportedEnd end, String checkpoint) {}

    /** Lists how a worker may say that a run ended. */
    public enum ReportedEnd {
        /** The task has completed. */
        COMPLETED(RunEnd.COMPLETED),
        /** It failed, through its own fault or the worker's. */
        FAILED(RunEnd.FAILED),
        /** It was told to stop. */
        STOPPED(RunEnd.INTERRUPTED),
        /** The worker's lease ran out. */
        LEASE_EXPIRED(RunEnd.INTERRUPTED),
        /** Another member of its gang ended. */
        GANG_BROKEN(RunEnd.INTERRUPTED),
        /** The other members of its gang did not come. */
        GANG_INCOMPLETE(RunEnd.INTERRUPTED),
        /** It was never started. */
        REFUSED(RunEnd.INTERRUPTED);

        private final RunEnd meaning;

        ReportedEnd(RunEnd meaning) {
            this.meaning = meaning;
        }

        /**
         * Returns what the end means for the task.
         *
         * @return the end, never null
         */
        public RunEnd meaning() {
            return meaning;
        }
    }
}
