package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.workers.PollReply;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ObjectiveManifest;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.DataCentreScheduler;
import dev.waxwinghead.scheduling.task.LearnedCostModel;
import dev.waxwinghead.scheduling.task.LeaseDurations;
import dev.waxwinghead.scheduling.task.PollAnswer;
import dev.waxwinghead.scheduling.task.PollReport;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskTable;
import dev.waxwinghead.scheduling.task.Transition;
import dev.waxwinghead.scheduling.task.WorkerSummary;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Runs the scheduler of this host's data centre while this host holds the scheduler term.
 *
 * <p>All access to the scheduler is synchronized on this object. The lock is held only for short computations and never
 * while a proposal is pending.
 */
final class ActingScheduler {
    private static final Logger LOG = Logger.getLogger(ActingScheduler.class);
    private static final int MAX_TRANSITIONS_PER_COMMAND = 2_000;

    private final DaemonContext context;
    private final Ticker ticker;
    private final TaskTable table;
    private final TaskProposals proposals;
    private final LeaseDurations times;
    private final SchedulerElection election;
    private final LearnedCostModel learning = LearnedCostModel.create();
    private final String address;
    private final ConcurrentLinkedQueue<TaskId> changedTasks = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Runnable> rejectedActions = new ConcurrentLinkedQueue<>();
    private volatile boolean recordingChanges;
    private DataCentreScheduler scheduler;
    /** The scheduler of the newest term that this host has held, also after it has stepped down. */
    private DataCentreScheduler latest;

    private boolean acquiring;
    private boolean renewing;
    private boolean proposing;
    private boolean outcomeUnknown;
    private boolean draining;
    private long policyRevision;

    ActingScheduler(DaemonContext context, TaskTable table, TaskProposals proposals) {
        this.context = context;
        this.ticker = context.ticker();
        this.table = table;
        this.proposals = proposals;
        this.times = LeaseDurations.of(
                context.settings().schedulerLease(), context.settings().workerLease());
        this.election = new SchedulerElection(context, table);
        this.address = context.workerHttp().address().getAddress().getHostAddress() + ":"
                + context.workerHttp().address().getPort();
    }

    /** Records that a task has changed. Called on the thread that applies the log. */
    void taskChanged(TaskRecord task) {
        if (recordingChanges) {
            changedTasks.add(task.id());
        }
    }

    /** Drops the scheduler after the table was restored from a snapshot. Called on the thread that applies the log. */
    void tableRestored() {
        recordingChanges = false;
        execute(this::stepDown);
    }

    /** Answers a worker's poll, or refers the worker to the acting scheduler if this host does not act. */
    PollReply poll(PollReport report) {
        PollAnswer answer = null;
        synchronized (this) {
            if (current().isPresent()) {
                applyChanges();
                answer = scheduler.poll(report, ticker.nanos());
                proposeTransitions();
            }
        }
        return new PollReply(answer == null ? new PollAnswer(0, 0, List.of()) : answer, actingAddress());
    }

    /** Acquires or renews the term if due, and advances the scheduler to the current time. */
    synchronized void tick() {
        for (Runnable action = rejectedActions.poll(); action != null; action = rejectedActions.poll()) {
            action.run();
        }
        election.observe(ticker.nanos());
        if (current().isEmpty()) {
            acquireIfDue();
            return;
        }
        if (outcomeUnknown) {
            acquireIfDue();
        }
        renewIfDue();
        applyChanges();
        applyPolicies();
        scheduler.tick(ticker.nanos());
        proposeTransitions();
    }

    /** Returns a summary of each worker, or empty if this host is not the acting scheduler. */
    synchronized Optional<List<WorkerSummary>> workers() {
        return current().map(DataCentreScheduler::workers);
    }

    /** Returns why tasks wait, by owner; empty if this host is not the acting scheduler. */
    synchronized Map<ManifestKey, String> waitReasons() {
        return current().map(DataCentreScheduler::refusals).orElse(Map.of());
    }

    /** Returns the term in which this host acts, or 0 if this host does not act. */
    synchronized long term() {
        return current().map(DataCentreScheduler::term).orElse(0L);
    }

    /** Stops acting for good and releases the term, so that another host can acquire the term at once. */
    CompletableFuture<Void> releaseTerm() {
        long term;
        synchronized (this) {
            draining = true;
            term = term();
            stepDown();
        }
        if (term == 0) {
            return CompletableFuture.completedFuture(null);
        }
        return proposals
                .propose(new TaskCommand.Release(context.dataCentre(), term))
                .handle((result, failure) -> null);
    }

    /** Runs an action on the pool, or with the next tick if the pool is full. */
    private void execute(Runnable action) {
        try {
            context.pool().execute(action);
        } catch (RejectedExecutionException e) {
            rejectedActions.add(action);
        }
    }

    private Optional<DataCentreScheduler> current() {
        if (scheduler == null) {
            return Optional.empty();
        }
        long term =
                table.scheduler(context.dataCentre()).map(SchedulerTerm::term).orElse(0L);
        if (term != scheduler.term()) {
            stepDown();
        }
        return Optional.ofNullable(scheduler);
    }

    private synchronized void stepDown() {
        if (scheduler != null) {
            LOG.infof("stepped down as scheduler of %s in term %d", context.dataCentre(), scheduler.term());
        }
        scheduler = null;
        recordingChanges = false;
        outcomeUnknown = false;
        changedTasks.clear();
    }

    private void applyChanges() {
        for (TaskId id = changedTasks.poll(); id != null; id = changedTasks.poll()) {
            scheduler.refreshTask(id);
        }
    }

    private void applyPolicies() {
        Configuration configuration = context.configuration().current();
        if (configuration.revision() != policyRevision) {
            policyRevision = configuration.revision();
            scheduler.quotas(configuration
                    .all(QuotaManifest.class)
                    .collect(Collectors.toMap(QuotaManifest::name, Function.identity())));
            learning.objective(configuration
                    .all(ObjectiveManifest.class)
                    .filter(objective -> objective.name().equals("default"))
                    .findFirst()
                    .orElse(LearnedCostModel.EQUAL_WEIGHTS));
        }
    }

    private void acquireIfDue() {
        if (draining || acquiring || !election.acquisitionDue(ticker.nanos(), outcomeUnknown)) {
            return;
        }
        acquiring = true;
        long sent = ticker.nanos();
        TaskCommand.Acquire command = new TaskCommand.Acquire(
                context.dataCentre(), context.self(), address, election.expectedTerm(), times.maxLeaseMillis());
        proposals
                .propose(command)
                .whenComplete(
                        (result, failure) -> execute(() -> completeAcquisition(result, command.expectedTerm(), sent)))
                .exceptionally(failure -> null);
    }

    private synchronized void completeAcquisition(CommandResult result, long expectedTerm, long sent) {
        acquiring = false;
        if (result == null || !result.accepted() || draining) {
            return;
        }
        SchedulerTerm term = table.scheduler(context.dataCentre()).orElseThrow();
        if (term.term() != result.term()) {
            return;
        }
        changedTasks.clear();
        recordingChanges = true;
        outcomeUnknown = false;
        proposing = false;
        policyRevision = 0;
        WorkerScore score = WorkerScore.byCost(learning);
        scheduler = latest != null && latest.term() == expectedTerm
                ? latest.succeed(term, score, learning, sent, ticker.nanos())
                : DataCentreScheduler.create(term, table, times, score, learning, sent, ticker.nanos());
        latest = scheduler;
        LOG.infof("acting as scheduler of %s in term %d", context.dataCentre(), result.term());
    }

    private void renewIfDue() {
        long now = ticker.nanos();
        if (renewing || !election.renewalDue(now)) {
            return;
        }
        renewing = true;
        DataCentreScheduler renewed = scheduler;
        proposals
                .propose(new TaskCommand.Renew(context.dataCentre(), renewed.term()))
                .whenComplete((result, failure) -> execute(() -> completeRenewal(renewed, result, now)))
                .exceptionally(failure -> null);
    }

    private synchronized void completeRenewal(DataCentreScheduler renewed, CommandResult result, long sent) {
        renewing = false;
        if (result != null && result.accepted()) {
            renewed.extendAuthority(sent);
        }
    }

    /** Proposes the pending transitions, one command at a time; transitions that arrive meanwhile go into the next. */
    private void proposeTransitions() {
        if (proposing || outcomeUnknown) {
            return;
        }
        List<Transition> batch = scheduler.takeTransitions(MAX_TRANSITIONS_PER_COMMAND);
        if (batch.isEmpty()) {
            return;
        }
        proposing = true;
        DataCentreScheduler proposer = scheduler;
        proposals
                .propose(new TaskCommand.Transitions(context.dataCentre(), proposer.term(), batch))
                .whenComplete((result, failure) -> execute(() -> completeProposal(proposer, batch, failure)))
                .exceptionally(failure -> null);
    }

    private synchronized void completeProposal(
            DataCentreScheduler proposer, List<Transition> batch, Throwable failure) {
        if (proposer != scheduler) {
            return;
        }
        proposing = false;
        if (current().isEmpty()) {
            return;
        }
        if (failure != null && mayStillBeApplied(failure)) {
            outcomeUnknown = true;
            return;
        }
        applyChanges();
        scheduler.settle(batch, ticker.nanos());
        proposeTransitions();
    }

    /** Returns whether a failed proposal may yet be applied; only a new term can then prevent that. */
    private static boolean mayStillBeApplied(Throwable failure) {
        ErrorKind kind = WaxwingheadException.from(failure).kind();
        return kind != ErrorKind.NO_MAJORITY && kind != ErrorKind.UNAVAILABLE;
    }

    private String actingAddress() {
        return table.scheduler(context.dataCentre()).map(SchedulerTerm::address).orElse(address);
    }
}
