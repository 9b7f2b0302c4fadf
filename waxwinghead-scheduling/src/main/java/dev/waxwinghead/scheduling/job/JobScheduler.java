package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Schedules the jobs of a {@link JobTable}: answers the workers' reports and plans the transitions of the tasks.
 *
 * <p>A start is sent to a worker only after it was applied to the table. A run counts as live until its end was applied
 * to the table, and the end is acknowledged to the worker only after that. Callers hold the table's monitor.
 *
 * @since 0.2
 */
public final class JobScheduler {
    /** The interval at which the learned interference is reported to the listener. */
    private static final long DESCRIPTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SchedulerState state;
    private final ReportHandler reportHandler;
    private final TransitionPlanner planner;
    private final UnlistedRoom unlistedRoom;
    private long describedNanos;

    private JobScheduler(SchedulerState state) {
        this.state = state;
        this.reportHandler = new ReportHandler(state);
        this.planner = new TransitionPlanner(state);
        this.unlistedRoom = new UnlistedRoom(state);
    }

    /**
     * Returns a scheduler for the jobs of a table.
     *
     * @param table the table
     * @param times the durations that the scheduler applies
     * @param declared returns whether a service is declared now; reports for a service that is neither declared nor
     *     named by a job of the table are ignored
     * @param events the listener that is notified of each decision
     * @return the scheduler, never null
     */
    public static JobScheduler of(
            JobTable table, SchedulerTimes times, Predicate<ServiceName> declared, SchedulerListener events) {
        return new JobScheduler(new SchedulerState(table, times, declared, events));
    }

    /**
     * Starts acting as the scheduler, after the transitions of all previous schedulers were applied to the table.
     * Discards the state of workers, since another scheduler may have granted them leases in the meantime. Keeps what
     * was learned about images.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     */
    public void takeOver(long now) {
        state.takeOver(now);
        planner.takeOver(now);
    }

    /**
     * Records when this host has learned which workers are silent, see {@link JobTransition.Silent}. Called
     * periodically on all hosts with a table, since it bounds how long the host waits for the workers' leases once it
     * takes over.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     * @since 0.3
     */
    public void observeSilences(long now) {
        state.observeSilences(now);
    }

    /**
     * Processes a worker's report and answers it immediately.
     *
     * @param report the report
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the answer; empty if the report is late, of an earlier incarnation or for an unknown service
     */
    public Optional<WorkerInstructions> report(WorkerReport report, long now) {
        return receive(report, now).flatMap(this::answer);
    }

    /**
     * Processes a worker's report, to be answered with {@link #answer}.
     *
     * @param report the report
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the receipt, with the latest time to answer; empty if the report is late, of an earlier incarnation or
     *     for an unknown service
     */
    public Optional<ReportReceipt> receive(WorkerReport report, long now) {
        return reportHandler.receive(report, now);
    }

    /**
     * Returns whether the answer to a report would start or stop a run.
     *
     * @param receipt the receipt of the report
     * @return false if the answer may be held back until it is due
     */
    public boolean hasInstructions(ReportReceipt receipt) {
        return reportHandler.hasInstructions(receipt);
    }

    /**
     * Records that the answer to a report is held back. Tasks are preferably started on workers that await an answer.
     *
     * @param receipt the receipt of the report
     */
    public void hold(ReportReceipt receipt) {
        reportHandler.hold(receipt);
    }

    /**
     * Returns the answer to a report.
     *
     * @param receipt the receipt of the report
     * @return the answer; empty if a later report of the worker or of its successor has arrived
     */
    public Optional<WorkerInstructions> answer(ReportReceipt receipt) {
        return reportHandler.answer(receipt);
    }

    /**
     * Records that a worker has announced its exit. It gets no new tasks; its runs stay live until its lease has
     * expired or another process has replaced it.
     *
     * @param incarnation the worker's incarnation
     */
    public void workerLeft(WorkerIncarnation incarnation) {
        state.workers().find(incarnation).ifPresent(entry -> {
            entry.announceExit();
            state.events().workerExiting(incarnation);
        });
    }

    /**
     * Returns the current incarnation of a worker.
     *
     * @param worker the worker
     * @return the incarnation, empty if the worker is not known
     */
    public Optional<WorkerIncarnation> incarnationOf(WorkerId worker) {
        return state.workers().find(worker).map(WorkerEntry::incarnation);
    }

    /**
     * Returns what was learned about the interference between images, for the scheduler that takes over.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the reliable estimates
     */
    public List<PairEstimate> interferenceEstimates(long now) {
        return state.interference().reliableEstimates(now);
    }

    /**
     * Adopts what the acting scheduler has learned about the interference between images.
     *
     * @param estimates the estimates
     * @param now the current time, in nanoseconds of a monotonic clock
     */
    public void adoptInterference(List<PairEstimate> estimates, long now) {
        state.interference().adopt(estimates, now);
    }

    /**
     * Returns the number of workers that are quarantined or on probation.
     *
     * @return the number of workers, 0 or more
     * @since 0.3
     */
    public int quarantinedWorkers() {
        return (int) state.workers().entries().stream()
                .filter(entry -> state.health().quarantined(entry.id()))
                .count();
    }

    /**
     * Returns the capacity that the table counts for runs that their workers' reports have not listed for longer than a
     * start takes. Values that do not return to 0 show room that is never given back.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the processor time of these runs, in millicores
     * @since 0.3
     */
    public long unlistedMillicores(long now) {
        return unlistedRoom.millicores(now);
    }

    /**
     * Plans the next transitions. Callers must commit them before the next call.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     * @param epochMillis the current wall-clock time, in milliseconds
     * @return the transitions in order, empty if there is nothing to do
     */
    public List<JobTransition> plan(long now, long epochMillis) {
        if (now - describedNanos > DESCRIPTION_INTERVAL_NANOS) {
            describedNanos = now;
            state.events().interferenceLearned(state.interference().describe(now));
        }
        return planner.plan(now, epochMillis);
    }
}
