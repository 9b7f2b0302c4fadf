package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.JobScheduler;
import dev.waxwinghead.scheduling.job.JobTable;
import dev.waxwinghead.scheduling.job.JobTransition;
import dev.waxwinghead.scheduling.job.ReportReceipt;
import dev.waxwinghead.scheduling.job.SchedulerListener;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import dev.waxwinghead.scheduling.job.WorkerInstructions;
import dev.waxwinghead.scheduling.job.WorkerReport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Acts as the scheduler of submitted jobs while this host leads the log.
 *
 * <p>A single thread plans and commits, one plan at a time; reports are answered from memory on the callers' threads.
 * The monitor of the job table is the only lock; the engine, the callers' threads and the job section synchronize on
 * it.
 */
final class JobEngine implements AutoCloseable {
    /** The interval for work that no event announces, such as the expiry of leases. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /**
     * The time after which a pending commit counts as failed and the engine acquires a new epoch; longer than a sync
     * takes on a slow disk.
     */
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(10);

    private static final long MIN_RETRY_DELAY_MILLIS = 100;
    private static final long MAX_RETRY_DELAY_MILLIS = 1000;

    /** The interval at which held answers are checked; answers are late by at most this. */
    private static final long ANSWER_CHECK_INTERVAL_MILLIS = 25;

    private static final int ANSWER_THREADS = 4;

    private static final long NO_EPOCH = -1;

    private final HostId self;
    private final SharedState sharedState;
    private final JobTable table;
    private final SchedulingAuthority authority;
    private final Ticker ticker;
    private final LongSupplier epochMillis;
    private final Semaphore wakeUps = new Semaphore(0);
    private final Thread thread;
    private final Closer closer = Closer.create();
    private final ExecutorService answerExecutor;
    private volatile boolean closed;
    /** Guarded by the table's monitor. */
    private final JobScheduler scheduler;

    /** Guarded by the table's monitor. */
    private final HeldAnswers held = new HeldAnswers();

    /**
     * Whether a plan was not committed, or it is not known whether it was. Until this host has acquired a new epoch, it
     * continues to answer reports, so that runs keep their leases, but plans nothing. Used by the engine's thread only.
     */
    private boolean planUnresolved;

    private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

    /** The epoch in which this host acts, or {@link #NO_EPOCH}. Guarded by the table's monitor. */
    private long ownEpoch = NO_EPOCH;

    /**
     * The log's term in which this host has acquired its epoch. A leader of a later term may not have applied what
     * another scheduler has committed in between. Guarded by the table's monitor.
     */
    private OptionalLong ownTerm = OptionalLong.empty();

    JobEngine(
            HostId self,
            SharedState sharedState,
            JobTable table,
            SchedulingAuthority authority,
            SchedulerTimes times,
            Predicate<ServiceName> declared,
            SchedulerListener events,
            Ticker ticker,
            LongSupplier epochMillis) {
        this.self = self;
        this.sharedState = sharedState;
        this.table = table;
        this.authority = authority;
        this.ticker = ticker;
        this.epochMillis = epochMillis;
        this.scheduler = JobScheduler.of(table, times, declared, events);
        this.thread = new Thread(this::run, "job-engine");
        this.answerExecutor = ThreadPools.bounded("answers", ANSWER_THREADS, closer);
    }

    void start() {
        closer.register(PeriodicTask.start(
                ThreadPools.timer("held-answers", 1, closer),
                ANSWER_CHECK_INTERVAL_MILLIS,
                "held-answers",
                this::answerDue));
        thread.start();
    }

    /** Makes the engine plan without waiting for the interval to pass. */
    void wake() {
        if (wakeUps.availablePermits() == 0) {
            wakeUps.release();
        }
    }

    /** Returns whether this host acts as the scheduler now. */
    boolean acting() {
        return actingEpoch().isPresent();
    }

    /** Returns the epoch in which this host acts as the scheduler now, empty if it does not act. */
    OptionalLong actingEpoch() {
        synchronized (table) {
            OptionalLong term = authority.term();
            return term.isPresent() && current(term) ? OptionalLong.of(ownEpoch) : OptionalLong.empty();
        }
    }

    /**
     * Answers a worker's report, possibly only once there is something to instruct. The answer is empty if this host
     * does not act or the report is out of date.
     */
    CompletableFuture<Optional<WorkerInstructions>> report(WorkerReport report) {
        Optional<HeldAnswers.Held> replaced = Optional.empty();
        CompletableFuture<Optional<WorkerInstructions>> answer = new CompletableFuture<>();
        synchronized (table) {
            if (closed || !acting()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            long now = ticker.nanos();
            Optional<ReportReceipt> receipt = scheduler.receive(report, now);
            if (!report.ended().isEmpty()) {
                wake();
            }
            if (receipt.isEmpty()) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            if (receipt.get().due(now) || scheduler.hasInstructions(receipt.get())) {
                replaced = held.remove(report.incarnation().worker());
                answer.complete(scheduler.answer(receipt.get()));
            } else {
                replaced = held.add(receipt.get(), answer);
                scheduler.hold(receipt.get());
            }
        }
        replaced.ifPresent(each -> each.answer().complete(Optional.empty()));
        return answer;
    }

    /** Answers the reports whose answers were held back until now. */
    private void answerDue() {
        List<Released> released;
        synchronized (table) {
            released = answers(held.removeDue(ticker.nanos()));
        }
        released.forEach(each -> answerExecutor.execute(each::complete));
    }

    /** Answers the reports of workers that a committed plan starts tasks on, or lets return. */
    private void answerPlanned(List<JobTransition> plan) {
        List<Released> released;
        synchronized (table) {
            List<HeldAnswers.Held> planned = new ArrayList<>();
            for (JobTransition transition : plan) {
                if (transition instanceof JobTransition.Started start) {
                    held.remove(start.worker().worker()).ifPresent(planned::add);
                } else if (transition instanceof JobTransition.Returned returned) {
                    held.remove(returned.worker().worker()).ifPresent(planned::add);
                }
            }
            released = answers(planned);
        }
        released.forEach(each -> answerExecutor.execute(each::complete));
    }

    /** Returns the answers to reports, empty ones if this host does not act any more. Requires the table's monitor. */
    private List<Released> answers(List<HeldAnswers.Held> reports) {
        if (reports.isEmpty()) {
            return List.of();
        }
        boolean acting = acting();
        List<Released> released = new ArrayList<>(reports.size());
        for (HeldAnswers.Held each : reports) {
            released.add(new Released(each, acting ? scheduler.answer(each.receipt()) : Optional.empty()));
        }
        return released;
    }

    private record Released(HeldAnswers.Held held, Optional<WorkerInstructions> instructions) {
        void complete() {
            held.answer().complete(instructions);
        }
    }

    /** Returns what was learned about the interference between images, empty if this host does not act. */
    List<PairEstimate> interferenceEstimates() {
        synchronized (table) {
            return acting() ? scheduler.interferenceEstimates(ticker.nanos()) : List.of();
        }
    }

    /** Adopts what was recorded about the interference between images, unless this host acts and has recorded it. */
    void adoptInterference(List<PairEstimate> estimates) {
        synchronized (table) {
            if (!acting()) {
                scheduler.adoptInterference(estimates, ticker.nanos());
            }
        }
    }

    /** Returns the number of quarantined workers, 0 if this host does not act. */
    int quarantinedWorkers() {
        synchronized (table) {
            return acting() ? scheduler.quarantinedWorkers() : 0;
        }
    }

    /** Returns the capacity counted for runs that no report lists, in millicores; 0 if this host does not act. */
    long unlistedMillicores() {
        synchronized (table) {
            return acting() ? scheduler.unlistedMillicores(ticker.nanos()) : 0;
        }
    }

    /** Returns the number of drained data centres that this host knows of, whether it acts or not. */
    int drainedDataCentres() {
        synchronized (table) {
            return table.drainedDataCentres().size();
        }
    }

    /** Records that a worker exits. Returns false if this host does not act. */
    boolean workerExited(WorkerId worker, OptionalLong startedEpochMillis) {
        synchronized (table) {
            if (!acting()) {
                return false;
            }
            Optional<WorkerIncarnation> incarnation = scheduler.incarnationOf(worker);
            boolean current = incarnation.isPresent()
                    && startedEpochMillis.isPresent()
                    && incarnation.get().startedEpochMillis() == startedEpochMillis.getAsLong();
            if (current) {
                scheduler.workerLeft(incarnation.get());
                wake();
            }
            return true;
        }
    }

    private void run() {
        while (!closed) {
            try {
                step();
                if (wakeUps.tryAcquire(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
                    wakeUps.drainPermits();
                }
            } catch (InterruptedException e) {
                closed = true;
            } catch (RuntimeException | Error e) {
                Event.of("engine-step-failed").with("failure", e).write();
                resign("failed");
            }
        }
    }

    private void step() throws InterruptedException {
        synchronized (table) {
            scheduler.observeSilences(ticker.nanos());
        }
        OptionalLong term = authority.term();
        if (term.isEmpty()) {
            return;
        }
        boolean current;
        synchronized (table) {
            current = current(term);
        }
        if (!current) {
            resign("superseded");
        }
        if (!current || planUnresolved) {
            acquire(term);
            return;
        }
        commitPlan();
    }

    /** Returns whether this host has acquired the newest epoch in a term. Requires the table's monitor. */
    private boolean current(OptionalLong term) {
        return table.epoch() == ownEpoch && term.equals(ownTerm);
    }

    private void acquire(OptionalLong term) throws InterruptedException {
        if (!propose(new JobCommand.Acquire(self))) {
            Thread.sleep(retryDelayMillis);
            retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
            return;
        }
        retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
        planUnresolved = false;
        synchronized (table) {
            ownEpoch = table.epoch();
            ownTerm = term;
            scheduler.takeOver(ticker.nanos());
        }
        Event.of("scheduler-acting").with("host", self).with("epoch", ownEpoch).write();
    }

    private void commitPlan() throws InterruptedException {
        List<JobTransition> plan;
        long epoch;
        synchronized (table) {
            plan = scheduler.plan(ticker.nanos(), epochMillis.getAsLong());
            epoch = ownEpoch;
        }
        if (plan.isEmpty()) {
            return;
        }
        if (propose(new JobCommand.Advance(epoch, plan))) {
            answerPlanned(plan);
            wake();
        } else {
            planUnresolved = true;
            Event.of("planning-suspended")
                    .with("host", self)
                    .with("epoch", epoch)
                    .with("reason", "commit-failed")
                    .write();
        }
    }

    private boolean propose(JobCommand command) throws InterruptedException {
        try {
            byte[] result = sharedState
                    .propose(SectionId.JOBS, JobCodec.pack(command), Deadline.after(COMMIT_TIMEOUT, ticker))
                    .get();
            return JobCodec.unpackOutcome(result) == JobOutcome.APPLIED;
        } catch (ExecutionException e) {
            WaxwingheadException failure = WaxwingheadException.from(e);
            Event.of("engine-commit-failed")
                    .with("kind", failure.kind())
                    .with("message", failure.getMessage())
                    .write();
            return false;
        }
    }

    private void resign(String reason) {
        synchronized (table) {
            if (ownEpoch != NO_EPOCH) {
                Event.of("scheduler-resigned")
                        .with("host", self)
                        .with("epoch", ownEpoch)
                        .with("newest", table.epoch())
                        .with("reason", reason)
                        .write();
            }
            ownEpoch = NO_EPOCH;
        }
    }

    @Override
    public void close() {
        List<Released> released;
        synchronized (table) {
            closed = true;
            released = answers(held.removeAll());
        }
        released.forEach(Released::complete);
        thread.interrupt();
        closer.close();
    }
}
