package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Acts on the jobs of a {@link JobTable}: it answers the workers' reports and plans the transitions of the tasks.
 *
 * <p>A start is sent only once it stands in the table, and a run counts as live until its end stands there. An end is
 * acknowledged to the worker only then. Callers hold the table's monitor.
 *
 * @since 0.2
 */
public final class JobScheduler {
    /** How often what was learned of images is logged. */
    private static final long DESCRIBE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SchedulerState state;
    private final ReportAnswers answers;
    private final TransitionPlanner planner;
    private long describedNanos;

    private JobScheduler(SchedulerState state) {
        this.state = state;
        this.answers = new ReportAnswers(state);
        this.planner = new TransitionPlanner(state);
    }

    /**
     * Returns a scheduler over a table.
     *
     * @param table the table
     * @param times the times it keeps to
     * @param events is told of each decision
     * @return the scheduler, never null
     */
    public static JobScheduler of(JobTable table, SchedulerTimes times, SchedulerEvents events) {
        return new JobScheduler(new SchedulerState(table, times, events));
    }

    /**
     * Takes note that this scheduler has taken over and the table holds all that its predecessors did. What it knew of
     * workers is void: another scheduler may have given them leases meanwhile. What it learned about images holds.
     *
     * @param now the time now, in nanoseconds of a monotonic clock
     */
    public void begin(long now) {
        state.forgetWorkers();
        planner.begin(now);
    }

    /**
     * Takes a worker's report in.
     *
     * @param report the report
     * @param now the time now, in nanoseconds of a monotonic clock
     * @return the answer; empty for a report that is late or of a life that is over
     */
    public Optional<WorkerOrders> report(WorkerReport report, long now) {
        return answers.answer(report, now);
    }

    /**
     * Takes note that a worker says it exits.
     *
     * @param life the worker's life
     * @param now the time now, in nanoseconds of a monotonic clock
     */
    public void left(WorkerLife life, long now) {
        state.book().find(life).ifPresent(entry -> {
            entry.gone(now + state.times().reportTimeout().toNanos());
            state.events().workerGone(life, "left");
        });
    }

    /**
     * Tells whether a worker's current life is known.
     *
     * @param worker the worker
     * @return its life, if it is known
     */
    public Optional<WorkerLife> lifeOf(WorkerId worker) {
        return state.book().find(worker).map(WorkerEntry::life);
    }

    /**
     * Plans the next transitions. They are to be committed before this is called again.
     *
     * @param now the time now, in nanoseconds of a monotonic clock
     * @param epochMillis the wall-clock time, in milliseconds
     * @return the transitions in order, empty if there is nothing to do
     */
    public List<JobTransition> plan(long now, long epochMillis) {
        if (now - describedNanos > DESCRIBE_NANOS) {
            describedNanos = now;
            state.events().learned(state.interference().describe(now));
        }
        return planner.plan(now, epochMillis);
    }
}
