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
import dev.waxwinghead.scheduling.task.Learning;
import dev.waxwinghead.scheduling.task.PollAnswer;
import dev.waxwinghead.scheduling.task.PollReport;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.SchedulerTimes;
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
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Runs the scheduler of this host's data centre while this host holds its term.
 *
 * <p>One lock guards the scheduler; it is held for short computations only and never while a proposal is awaited.
 */
final class ActingScheduler {
    private static final Logger LOG = Logger.getLogger(ActingScheduler.class);
    private static final int MOST_TRANSITIONS_PER_COMMAND = 2_000;

    private final DaemonContext context;
    private final Ticker ticker;
    private final TaskTable table;
    private final TaskProposals proposals;
    private final SchedulerTimes times;
    private final SchedulerElection election;
    private final Learning learning = Learning.create();
    private final String address;
    private final ConcurrentLinkedQueue<TaskId> changed = new ConcurrentLinkedQueue<>();
    private volatile boolean following;
    private DataCentreScheduler scheduler;
    private boolean acquiring;
    private boolean renewing;
    private boolean proposing;
    private boolean inDoubt;
    private boolean leaving;
    private long policyRevision;

    ActingScheduler(DaemonContext context, TaskTable table, TaskProposals proposals) {
        this.context = context;
        this.ticker = context.ticker();
        this.table = table;
        this.proposals = proposals;
        this.times = SchedulerTimes.of(
                context.settings().schedulerLease(), context.settings().workerLease());
        this.election = new SchedulerElection(context, table);
        this.address = context.workerHttp().address().getAddress().getHostAddress() + ":"
                + context.workerHttp().address().getPort();
    }

    /** Takes note of a changed record; called on the thread that applies the log. */
    void changed(TaskRecord task) {
        if (following) {
            changed.add(task.id());
        }
    }

    /** Drops the scheduler after the whole table was replaced; called on the thread that applies the log. */
    void restored() {
        following = false;
        context.pool().execute(this::stepDown);
    }

    /** Answers a poll, or names the scheduler that would. */
    PollReply poll(PollReport report) {
        PollAnswer answer = null;
        synchronized (this) {
            if (current().isPresent()) {
                takeChanges();
                answer = scheduler.poll(report, ticker.nanos());
                flush();
            }
        }
        return new PollReply(answer == null ? new PollAnswer(0, 0, List.of()) : answer, actingAddress());
    }

    /** Does what time asks for. */
    synchronized void tick() {
        election.observe(ticker.nanos());
        if (current().isEmpty()) {
            acquireIfDue();
            return;
        }
        if (inDoubt) {
            acquireIfDue();
        }
        renewIfDue();
        takeChanges();
        takePolicies();
        scheduler.tick(ticker.nanos());
        flush();
    }

    /** Returns how the workers stand, if this host is the acting scheduler. */
    synchronized Optional<List<WorkerSummary>> workers() {
        return current().map(DataCentreScheduler::workers);
    }

    /** Returns why owners wait, if this host is the acting scheduler. */
    synchronized Map<ManifestKey, String> refusals() {
        return current().map(DataCentreScheduler::refusals).orElse(Map.of());
    }

    /** Returns the term that this host acts in, 0 if it does not act. */
    synchronized long term() {
        return current().map(DataCentreScheduler::term).orElse(0L);
    }

    /** Gives the term up, so that another host takes it at once. */
    CompletableFuture<Void> leave() {
        long term;
        synchronized (this) {
            leaving = true;
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
            LOG.infof("no longer scheduler of %s in term %d", context.dataCentre(), scheduler.term());
        }
        scheduler = null;
        following = false;
        inDoubt = false;
        changed.clear();
    }

    private void takeChanges() {
        for (TaskId id = changed.poll(); id != null; id = changed.poll()) {
            scheduler.refresh(id);
        }
    }

    private void takePolicies() {
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
                    .orElse(Learning.EQUAL_WEIGHTS));
        }
    }

    private void acquireIfDue() {
        if (leaving || acquiring || !election.due(ticker.nanos(), inDoubt)) {
            return;
        }
        acquiring = true;
        long sent = ticker.nanos();
        TaskCommand.Acquire command = new TaskCommand.Acquire(
                context.dataCentre(), context.self(), address, election.expectedTerm(), times.longestLeaseMillis());
        proposals
                .propose(command)
                .whenCompleteAsync((result, failure) -> acquired(result, sent), context.pool())
                .exceptionally(failure -> null);
    }

    private synchronized void acquired(CommandResult result, long sent) {
        acquiring = false;
        if (result == null || !result.accepted() || leaving) {
            return;
        }
        SchedulerTerm term = table.scheduler(context.dataCentre()).orElseThrow();
        if (term.term() != result.term()) {
            return;
        }
        changed.clear();
        following = true;
        inDoubt = false;
        proposing = false;
        policyRevision = 0;
        scheduler = DataCentreScheduler.create(
                term, table, times, WorkerScore.byHarm(learning), learning, sent, ticker.nanos());
        LOG.infof("scheduler of %s in term %d", context.dataCentre(), result.term());
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
                .whenCompleteAsync((result, failure) -> renewed(renewed, result, now), context.pool())
                .exceptionally(failure -> null);
    }

    private synchronized void renewed(DataCentreScheduler renewed, CommandResult result, long sent) {
        renewing = false;
        if (result != null && result.accepted()) {
            renewed.renewed(sent);
        }
    }

    /** Proposes what waits, one command at a time: what comes up meanwhile goes into the next. */
    private void flush() {
        if (proposing || inDoubt) {
            return;
        }
        List<Transition> batch = scheduler.takeTransitions(MOST_TRANSITIONS_PER_COMMAND);
        if (batch.isEmpty()) {
            return;
        }
        proposing = true;
        DataCentreScheduler proposer = scheduler;
        proposals
                .propose(new TaskCommand.Transitions(context.dataCentre(), proposer.term(), batch))
                .whenCompleteAsync((result, failure) -> decided(proposer, batch, failure), context.pool())
                .exceptionally(failure -> null);
    }

    private synchronized void decided(DataCentreScheduler proposer, List<Transition> batch, Throwable failure) {
        if (proposer != scheduler) {
            return;
        }
        proposing = false;
        if (current().isEmpty()) {
            return;
        }
        if (failure != null && mayStillCount(failure)) {
            inDoubt = true;
            return;
        }
        takeChanges();
        scheduler.settle(batch, ticker.nanos());
        flush();
    }

    /** Only a new term rules out that a proposal of unknown outcome is still applied. */
    private static boolean mayStillCount(Throwable failure) {
        ErrorKind kind = WaxwingheadException.from(failure).kind();
        return kind != ErrorKind.NO_MAJORITY && kind != ErrorKind.UNAVAILABLE;
    }

    private String actingAddress() {
        return table.scheduler(context.dataCentre()).map(SchedulerTerm::address).orElse(address);
    }
}
