package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.operator.DataCentreDrains;
import dev.waxwinghead.daemon.operator.DrainForecast;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.daemon.workers.WorkerRoutes;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;

/** Plans and schedules the tasks of services and jobs, and serves workers and operators. */
public final class TasksPart implements DaemonPart, DataCentreDrains {
    private static final Logger LOG = Logger.getLogger(TasksPart.class);
    private static final long SCHEDULER_INTERVAL_MILLIS = 50;
    private static final long PLANNER_INTERVAL_MILLIS = 100;
    private static final long CAPACITY_REPORT_INTERVAL_MILLIS = 500;
    private static final long WAIT_REASON_INTERVAL_MILLIS = 1_000;

    private final TaskSection section = new TaskSection();
    private final WaitingTasks waiting = new WaitingTasks();
    private final Closer closer = Closer.create();
    private DaemonContext context;
    private TaskProposals proposals;
    private ActingScheduler acting;
    private SchedulerExchange exchange;
    private DataCentreDrainService drains;

    private TasksPart() {
        section.table().onChange(waiting::taskChanged);
    }

    /**
     * Creates a part that is not started.
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
    public void start(DaemonContext daemonContext) {
        context = daemonContext;
        proposals = new TaskProposals(daemonContext);
        acting = new ActingScheduler(daemonContext, section.table(), proposals);
        section.table().onChange(this::taskChanged);
        section.onRestore(this::tableRestored);
        waiting.tableRestored(section.table());
        exchange = new SchedulerExchange(daemonContext, section.table(), acting);
        Planner planner = new Planner(daemonContext, section.table(), proposals, exchange, waiting);
        drains = new DataCentreDrainService(daemonContext, section.table(), proposals, exchange);
        new TaskRoutes(daemonContext, section.table(), proposals, planner, exchange, drains)
                .register(daemonContext.operatorHttp());
        WorkerRoutes.register(daemonContext.workerHttp(), acting::poll, daemonContext.meters());
        daemonContext
                .meters()
                .gauge(
                        "waxwinghead.tasks.waiting",
                        waiting,
                        tasks -> tasks.ids().size());
        daemonContext
                .meters()
                .gauge(
                        "waxwinghead.tasks.data.centres.drained",
                        section.table(),
                        table -> table.drainedDataCentres().size());
        scheduleEvery(SCHEDULER_INTERVAL_MILLIS, "scheduler", acting::tick);
        scheduleEvery(PLANNER_INTERVAL_MILLIS, "planner", planner::tick);
        WaitReasonReporter waitReasons = new WaitReasonReporter(section.table());
        scheduleEvery(
                WAIT_REASON_INTERVAL_MILLIS,
                "refusal report",
                () -> waitReasons
                        .report(acting.waitReasons(), daemonContext.ticker().nanos())
                        .forEach(proposals::proposeIgnoringFailure));
        scheduleEvery(CAPACITY_REPORT_INTERVAL_MILLIS, "capacity report", exchange::broadcastReport);
    }

    /**
     * Drains a worker: the worker is given no new tasks, and its tasks move to other workers.
     *
     * @param worker the worker
     * @return completes once a majority has accepted the drain; fails with kind {@code NOT_FOUND} if no acting
     *     scheduler knows the worker
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
    public CompletableFuture<Long> drainDataCentre(ChangeId changeId, DataCentreId dataCentre) {
        return drains.drainDataCentre(changeId, dataCentre);
    }

    @Override
    public CompletableFuture<Long> undrainDataCentre(ChangeId changeId, DataCentreId dataCentre) {
        return drains.undrainDataCentre(changeId, dataCentre);
    }

    @Override
    public CompletableFuture<DrainForecast> forecastDrain(DataCentreId dataCentre) {
        return drains.forecastDrain(dataCentre);
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return acting.releaseTerm();
    }

    @Override
    public Map<String, Object> status() {
        return Map.of(
                "schedulerTerm", acting.term(),
                "tasks", section.table().tasks().size(),
                "waiting", waiting.ids().size(),
                "configurationRevision", section.table().configurationRevision(),
                "drainedDataCentres",
                        section.table().drainedDataCentres().keySet().stream()
                                .map(dataCentre -> DataCentreRow.of(section.table(), dataCentre))
                                .toList());
    }

    @Override
    public void close() {
        closer.close();
    }

    private void taskChanged(TaskRecord task) {
        waiting.taskChanged(task);
        acting.taskChanged(task);
    }

    private void tableRestored() {
        waiting.tableRestored(section.table());
        acting.tableRestored();
    }

    /** Runs an action on the pool at a fixed rate, and skips a run while the previous one is still active. */
    private void scheduleEvery(long millis, String name, Runnable action) {
        AtomicBoolean running = new AtomicBoolean();
        Runnable trigger = () -> {
            if (running.compareAndSet(false, true)) {
                try {
                    context.pool().execute(() -> run(name, millis, action, running));
                } catch (RuntimeException e) {
                    running.set(false);
                    throw e;
                }
            }
        };
        closer.register(PeriodicTask.start(context.timer(), millis, name, trigger));
    }

    private void run(String name, long millis, Runnable action, AtomicBoolean running) {
        try {
            action.run();
        } catch (RuntimeException e) {
            context.meters().counter("waxwinghead.tasks.faults", "where", name).increment();
            LOG.errorf(e, "periodic %s run failed; next run in %d ms", name, millis);
        } finally {
            running.set(false);
        }
    }
}
