package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.resource.Resources;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the state that a worker reports periodically.
 *
 * @param incarnation the incarnation of the worker
 * @param sequence a number that increases with each report of an incarnation
 * @param service the service whose tasks the worker runs
 * @param address the address on which the worker listens; only one process at a time holds an address
 * @param capacity the resources available for tasks
 * @param labels the labels of the worker
 * @param rack the rack of the worker, empty if unknown
 * @param leaving whether the worker is shutting down and accepts no new tasks
 * @param remainingMillis the minimum time until a leaving worker exits, in milliseconds
 * @param running the running runs
 * @param ended the ends that were not acknowledged yet, by ascending number
 * @param dataCentre the data centre of the worker; empty if the worker states none, so that no drain concerns it
 * @param coldLeftMillis how long the worker runs tasks slowly from now on because it has just started, in milliseconds;
 *     0 if it does not
 * @since 0.2
 */
public record WorkerReport(
        WorkerIncarnation incarnation,
        long sequence,
        ServiceName service,
        String address,
        Resources capacity,
        Set<String> labels,
        String rack,
        boolean leaving,
        long remainingMillis,
        List<RunningTask> running,
        List<EndedRun> ended,
        Optional<DataCentreId> dataCentre,
        long coldLeftMillis) {
    /** Copies the collections. */
    public WorkerReport {
        labels = Set.copyOf(labels);
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * Creates the report of a worker that states no data centre and is not cold.
     *
     * @param incarnation the incarnation of the worker
     * @param sequence a number that increases with each report of an incarnation
     * @param service the service whose tasks the worker runs
     * @param address the address on which the worker listens
     * @param capacity the resources available for tasks
     * @param labels the labels of the worker
     * @param rack the rack of the worker, empty if unknown
     * @param leaving whether the worker is shutting down and accepts no new tasks
     * @param remainingMillis the minimum time until a leaving worker exits, in milliseconds
     * @param running the running runs
     * @param ended the ends that were not acknowledged yet, by ascending number
     */
    public WorkerReport(
            WorkerIncarnation incarnation,
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
        this(
                incarnation,
                sequence,
                service,
                address,
                capacity,
                labels,
                rack,
                leaving,
                remainingMillis,
                running,
                ended,
                Optional.empty(),
                0);
    }

    /**
     * Describes a run that is running.
     *
     * @param run the run
     * @param checkpoint the latest checkpoint, empty if there is none
     * @param percent the progress, 0 to 100; a lasting task is ready at 100
     * @param gauge for a serving task, the tail of its response time, in milliseconds; for any other task, the
     *     processor time in use, in millicores
     */
    public record RunningTask(RunKey run, String checkpoint, int percent, long gauge) {}

    /**
     * Describes a run that has ended.
     *
     * @param number the number of the end, ascending from 1 within the worker's incarnation
     * @param run the run
     * @param end how the run ended
     * @param checkpoint the latest checkpoint, empty if there is none
     */
    public record EndedRun(long number, RunKey run, ReportedEnd end, String checkpoint) {}

    /** Enumerates the ends of runs that a worker reports. */
    public enum ReportedEnd {
        /** The task has completed. */
        COMPLETED(RunEnd.COMPLETED),
        /** The task failed, through its own fault or the worker's. */
        FAILED(RunEnd.FAILED),
        /** The task was stopped by an instruction of the scheduler. */
        STOPPED(RunEnd.INTERRUPTED),
        /** The worker's lease expired. */
        LEASE_EXPIRED(RunEnd.INTERRUPTED),
        /** Another member of the task's gang ended. */
        GANG_BROKEN(RunEnd.INTERRUPTED),
        /** The other members of the task's gang did not start in time. */
        GANG_INCOMPLETE(RunEnd.INTERRUPTED),
        /** The worker did not start the task. */
        REFUSED(RunEnd.INTERRUPTED);

        private final RunEnd runEnd;

        ReportedEnd(RunEnd meaning) {
            this.runEnd = meaning;
        }

        /**
         * Returns the effect of the reported end on the task.
         *
         * @return the end of the run, never null
         */
        public RunEnd runEnd() {
            return runEnd;
        }
    }
}
