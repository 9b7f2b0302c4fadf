package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.daemon.workers.WorkerRoutes;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;

/** Runs services and jobs: plans, schedules and answers workers and operators. */
public final class TasksPart implements DaemonPart {
    private static final Logger LOG = Logger.getLogger(TasksPart.class);
    private static final long TICK_MILLIS = 50;
    private static final long PLAN_MILLIS = 100;
    private static final long REPORT_MILLIS = 500;
    private static final long REFUSAL_MILLIS = 1_000;

    private final TaskSection section = new TaskSection();
    private final WaitingTasks waiting = new WaitingTasks();
    private final Closer closer = Closer.create();
    private DaemonContext context;
    private TaskProposals proposals;
    private ActingScheduler acting;
    private SchedulerExchange exchange;

    private TasksPart() {
        section.table().onChange(waiting::changed);
    }

    /**
     * Returns the part, not yet started.
     *
     * @return the part, never null
     */
    public static TasksPart create() {
        return new TasksPart();
    }

    @Override
    public List<StateSection> sections() {
        return List.of(section);
    }

    @Override
    public void start(DaemonContext started) {
        context = started;
        proposals = new TaskProposals(started);
        acting = new ActingScheduler(started, section.table(), proposals);
        section.table().onChange(this::changed);
        section.onRestore(this::restored);
        waiting.restored(section.table());
        exchange = new SchedulerExchange(started, section.table(), acting);
        Planner planner = new Planner(started, section.table(), proposals, exchange, waiting);
        new TaskRoutes(started, section.table(), proposals, planner, exchange).register(started.operatorHttp());
        WorkerRoutes.register(started.workerHttp(), acting::poll, started.meters());
        started.meters()
                .gauge(
                        "waxwinghead.tasks.waiting",
                        waiting,
                        tasks -> tasks.ids().size());
        every(TICK_MILLIS, "scheduler", acting::tick);
        every(PLAN_MILLIS, "planner", planner::tick);
        RefusalReporter refusals = new RefusalReporter(section.table());
        every(
                REFUSAL_MILLIS,
                "refusal report",
                () -> refusals.report(acting.refusals(), started.ticker().nanos())
                        .forEach(proposals::proposeQuietly));
        every(REPORT_MILLIS, "capacity report", exchange::report);
    }

    /**
     * Lets a worker take nothing new and moves its tasks away.
     *
     * @param worker the worker
     * @return completes once a majority has accepted it; fails with kind {@code NOT_FOUND} if no acting scheduler knows
     *     the worker
     */
    public CompletableFuture<Void> drainWorker(WorkerId worker) {
        return exchange.workers()
                .thenApply(rows -> rows.stream()
                        .filter(row -> row.worker().equals(worker))
                        .findFirst()
                        .orElseThrow(() -> WaxwingheadException.of(
                                ErrorKind.NOT_FOUND, "there is no worker '" + worker + "'", "see 'get workers'")))
                .thenCompose(row -> proposals.propose(new TaskCommand.DrainWorker(worker, row.incarnation())))
                .thenApply(result -> null);
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return acting.leave();
    }

    @Override
    public Map<String, Object> status() {
        return Map.of(
                "schedulerTerm", acting.term(),
                "tasks", section.table().tasks().size(),
                "waiting", waiting.ids().size(),
                "configurationRevision", section.table().configurationRevision());
    }

    @Override
    public void close() {
        closer.close();
    }

    private void changed(TaskRecord task) {
        waiting.changed(task);
        acting.changed(task);
    }

    private void restored() {
        waiting.restored(section.table());
        acting.restored();
    }

    /** Runs an action on the pool at a fixed interval, and skips a turn while the last one still runs. */
    private void every(long millis, String name, Runnable action) {
        AtomicBoolean running = new AtomicBoolean();
        Runnable turn = () -> {
            if (running.compareAndSet(false, true)) {
                context.pool().execute(() -> {
                    try {
                        action.run();
                    } catch (RuntimeException e) {
                        context.meters()
                                .counter("waxwinghead.tasks.faults", "where", name)
                                .increment();
                        LOG.errorf(e, "the %s failed; it runs again in %d ms", name, millis);
                    } finally {
                        running.set(false);
                    }
                });
            }
        };
        ScheduledFuture<?> timer = context.timer().scheduleAtFixedRate(turn, millis, millis, TimeUnit.MILLISECONDS);
        closer.register(() -> timer.cancel(false));
    }
}
