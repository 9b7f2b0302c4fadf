package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Routes calls about jobs from an entry host without a replica of the log to the host that acts as the scheduler.
 *
 * <p>All calls are idempotent, so a call without an answer is sent again, to the next acting scheduler if there is one,
 * until it is answered or its caller's time is over. While no scheduler is known, calls wait in the order of their
 * arrival; then they are sent a few at a time.
 *
 * <p>An attempt that changes state names the epoch of the scheduler that it is sent to and has no effect in another
 * one. The refusal of a later scheduler therefore holds for all attempts before.
 */
public final class JobGateway implements AutoCloseable {
    /** The maximum number of calls without an answer; a call may take some 30 KB (an estimate, not measured). */
    static final int MAX_OPEN_CALLS = 1000;

    /** The maximum size of all requests without an answer, in bytes; each is held encoded and decoded. */
    static final long MAX_OPEN_BYTES = 8L * 1024 * 1024;

    /**
     * The number of waiting calls that are sent at the same time once a scheduler is known. 40 entry hosts send 640,
     * which fill a few of the log's batches.
     */
    static final int MAX_PACED_ATTEMPTS = 16;

    /**
     * The time that an answer takes on a busy host: two message exchanges, two disk syncs and the wait for a processor.
     * A call that has not run is not sent again with less time left, since its outcome would probably be unknown.
     */
    static final Duration ANSWER_TIME = Duration.ofMillis(100);

    /** The time limit for the answer of one host: several times a commit on a healthy disk. */
    static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(900);

    /** The time between a failed attempt and the next one of the same call. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The time without an answer after which other hosts are asked whether they act; an answer rarely takes longer. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The interval at which waiting calls are checked; they are refused late by at most this. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    /**
     * The time after which a scheduler that can't commit is not asked again. A disk that refuses writes is tried again
     * after pauses of 100 ms to 1 s, so a call within the first pauses may still succeed.
     */
    private static final long STORE_RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long STATUS_INTERVAL_MILLIS = 500;

    private final PeerNetwork network;
    private final Ticker ticker;
    private final ScheduledExecutorService timer;
    private final Closer closer;
    private final SchedulerFinder finder;
    private final GatewayEvents events;

    /** The calls without an answer in the order of their arrival. Guarded by this object's monitor. */
    private final Set<RoutedCall> open = new LinkedHashSet<>();

    /** Guarded by this object's monitor. */
    private long openBytes;

    /** The number of open calls that are not sent. Guarded by this object's monitor. */
    private int waiting;

    /** The number of attempts under way of calls that had to wait. Guarded by this object's monitor. */
    private int pacedAttempts;

    /** The time by which this host answers all calls, empty until it stops. Guarded by this object's monitor. */
    private Optional<Deadline> lastAnswer = Optional.empty();

    private final AtomicBoolean checkRequested = new AtomicBoolean();

    private JobGateway(
            JobHostSettings settings,
            PeerNetwork network,
            Ticker ticker,
            ScheduledExecutorService timer,
            MeterRegistry meters,
            Closer closer) {
        this.network = network;
        this.ticker = ticker;
        this.timer = timer;
        this.closer = closer;
        this.finder = new SchedulerFinder(settings, network, ticker, this::scheduleCheck);
        this.events = new GatewayEvents(meters);
        meters.gauge("waxwinghead.job.gateway.open", this, JobGateway::openCalls);
        meters.gauge("waxwinghead.job.gateway.waiting", this, JobGateway::waitingCalls);
    }

    /**
     * Opens the peer port and starts polling the status of the log.
     *
     * @param settings the settings of this host
     * @param ticker the monotonic clock
     * @param meters the registry for metrics
     * @return the running gateway, never null
     * @throws WaxwingheadException if the port can't be opened
     */
    public static JobGateway start(JobHostSettings settings, Ticker ticker, MeterRegistry meters) {
        Closer closer = Closer.create();
        PeerNetwork network = closer.register(PeerNetworkFactory.open(settings, ticker));
        return start(settings, ticker, network, ThreadPools.timer("job-gateway", 1, closer), meters, closer);
    }

    static JobGateway start(
            JobHostSettings settings,
            Ticker ticker,
            PeerNetwork network,
            ScheduledExecutorService timer,
            MeterRegistry meters,
            Closer closer) {
        JobGateway gateway = new JobGateway(settings, network, ticker, timer, meters, closer);
        gateway.finder.refresh();
        closer.register(
                PeriodicTask.start(timer, STATUS_INTERVAL_MILLIS, "job-gateway-status", gateway.finder::refresh));
        closer.register(PeriodicTask.start(timer, CHECK_INTERVAL_MILLIS, "job-gateway-calls", gateway::check));
        return gateway;
    }

    /**
     * Returns whether calls can be served, as far as this host knows.
     *
     * @return true while a host with a replica of the log answers and job classes are in force
     */
    public boolean ready() {
        return finder.ready();
    }

    /** Returns the number of calls without an answer. */
    synchronized int openCalls() {
        return open.size();
    }

    /** Returns the number of calls that wait for their first or next attempt. */
    synchronized int waitingCalls() {
        return waiting;
    }

    /**
     * Ends all calls by the given time, since this host stops. Later calls are routed as before while an answer can
     * still arrive in time.
     *
     * @param deadline the time by which each call is answered; a call that may have had an effect by then fails with
     *     kind {@code UNKNOWN_OUTCOME}, any other with {@code UNAVAILABLE}
     */
    public synchronized void answerAllBy(Deadline deadline) {
        lastAnswer = Optional.of(deadline);
    }

    /**
     * Routes a call to the acting scheduler and sends it again until it is answered or the caller's time is over.
     *
     * @param call the call
     * @param deadline the time at which the caller stops waiting
     * @return the answer; fails with kind {@code UNKNOWN_OUTCOME} if the time is over and an attempt may have had an
     *     effect, with {@code UNAVAILABLE} if the call had no effect and waiting can't help or too many calls wait, and
     *     with the kind of the scheduler's refusal if the call had no effect
     */
    public CompletableFuture<JobAnswer> call(JobCall call, Deadline deadline) {
        RoutedCall routed = new RoutedCall(call, deadline, ticker.nanos());
        Optional<SchedulerEpoch> scheduler = finder.acting();
        boolean sendNow;
        synchronized (this) {
            boolean full = open.size() >= MAX_OPEN_CALLS
                    || (!open.isEmpty() && openBytes + routed.request.length > MAX_OPEN_BYTES);
            if (full) {
                routed.reason = "this host has " + open.size() + " calls with " + openBytes
                        + " bytes without an answer, the limits are " + MAX_OPEN_CALLS + " and " + MAX_OPEN_BYTES;
                events.refused(routed, GatewayEvents.Refusal.TOO_MANY_CALLS);
                return CompletableFuture.failedFuture(noEffect(routed.reason));
            }
            if (lastAnswer.isPresent() && remaining(routed).compareTo(ANSWER_TIME) < 0) {
                routed.reason = "this host stops";
                events.refused(routed, GatewayEvents.Refusal.STOPPING);
                return CompletableFuture.failedFuture(noEffect(routed.reason));
            }
            sendNow = scheduler.isPresent() && waiting == 0;
            open.add(routed);
            openBytes += routed.request.length;
            waiting++;
            if (sendNow) {
                begin(routed, scheduler.get(), false);
            }
        }
        if (sendNow) {
            send(routed, routed.attempts, scheduler.get());
        } else {
            scheduleCheck();
        }
        return routed.result;
    }

    /** Checks the waiting calls soon; requests up to the next check are served by that check. */
    private void scheduleCheck() {
        if (!checkRequested.compareAndSet(false, true)) {
            return;
        }
        try {
            timer.execute(() -> {
                checkRequested.set(false);
                check();
            });
        } catch (RejectedExecutionException e) {
            // The gateway is closed; its calls are abandoned with the process.
            return;
        }
    }

    /** Ends the waiting calls that waiting can't help and sends those that can be sent. */
    private void check() {
        if (openCalls() == 0) {
            return;
        }
        boolean reachable = finder.reachable();
        Optional<SchedulerEpoch> scheduler = finder.acting();
        List<Runnable> actions = new ArrayList<>();
        boolean silent = false;
        synchronized (this) {
            scheduler.ifPresent(this::recallOutdated);
            for (RoutedCall call : List.copyOf(open)) {
                if (call.sent) {
                    silent |= ticker.nanos() - call.sentNanos >= SILENCE_NANOS;
                    continue;
                }
                if (timeOver(call)) {
                    actions.add(giveUp(call, timeOverReason(call)));
                } else if (!reachable && !call.mayHaveRun) {
                    call.reason = "no host with a replica of the log is reachable";
                    actions.add(giveUp(call, GatewayEvents.Refusal.NO_HOST));
                } else if (scheduler.isPresent() && mayBegin(call, scheduler.get())) {
                    begin(call, scheduler.get(), true);
                    int attempt = call.attempts;
                    actions.add(() -> send(call, attempt, scheduler.get()));
                }
            }
        }
        actions.forEach(Runnable::run);
        if (silent || (scheduler.isEmpty() && waitingCalls() > 0)) {
            finder.probe();
        }
    }

    /** Returns whether a further attempt of a waiting call could not be answered within the caller's time. */
    private boolean timeOver(RoutedCall call) {
        Duration needed = call.mayHaveRun ? Duration.ofMillis(CHECK_INTERVAL_MILLIS) : ANSWER_TIME;
        boolean attempted = call.attempts > 0 || finder.acting().isEmpty();
        return attempted
                ? remaining(call).compareTo(needed) < 0
                : deadline(call).passed(ticker);
    }

    /** Returns the time by which a call is answered: its caller's deadline, or an earlier stop of this host. */
    private Deadline deadline(RoutedCall call) {
        return lastAnswer.map(call.deadline::earlier).orElse(call.deadline);
    }

    private Duration remaining(RoutedCall call) {
        return deadline(call).remaining(ticker);
    }

    private GatewayEvents.Refusal timeOverReason(RoutedCall call) {
        return deadline(call).equals(call.deadline) ? GatewayEvents.Refusal.TIME_OVER : GatewayEvents.Refusal.STOPPING;
    }

    private boolean mayBegin(RoutedCall call, SchedulerEpoch scheduler) {
        // A scheduler of an earlier epoch knows nothing of what a later one has accepted.
        return pacedAttempts < MAX_PACED_ATTEMPTS
                && ticker.nanos() - call.notBeforeNanos >= 0
                && scheduler.epoch() >= call.epoch;
    }

    private void begin(RoutedCall call, SchedulerEpoch scheduler, boolean paced) {
        call.attempts++;
        call.epoch = scheduler.epoch();
        call.sent = true;
        call.sentNanos = ticker.nanos();
        call.paced = paced;
        waiting--;
        pacedAttempts += paced ? 1 : 0;
    }

    /** Ends the attempt under way, so that the call waits. */
    private void end(RoutedCall call) {
        call.sent = false;
        pacedAttempts -= call.paced ? 1 : 0;
        call.paced = false;
        waiting++;
    }

    /** Makes calls wait for their next attempt whose latest attempt was sent to a scheduler that was replaced. */
    private void recallOutdated(SchedulerEpoch scheduler) {
        for (RoutedCall call : open) {
            if (call.sent && call.epoch < scheduler.epoch()) {
                call.markUncertain();
                call.reason = "the scheduler that received it was replaced";
                end(call);
            }
        }
    }

    private void send(RoutedCall call, int attempt, SchedulerEpoch scheduler) {
        HostId target = scheduler.host();
        byte[] request = JobCallCodec.attempt(call.request, scheduler.epoch());
        Deadline limit;
        synchronized (this) {
            limit = deadline(call).earlier(Deadline.after(ATTEMPT_TIMEOUT, ticker));
        }
        CompletableFuture<byte[]> sent;
        try {
            sent = network.call(target, PeerChannel.JOBS, request, limit);
        } catch (WaxwingheadException e) {
            sent = CompletableFuture.failedFuture(e);
        }
        CompletableFuture<JobAnswer> unused = sent.thenApply(JobCallCodec::unpackAnswer)
                .whenComplete((answer, failure) -> {
                    if (failure == null) {
                        receive(call, attempt, target, answer);
                    } else {
                        fail(call, attempt, target, WaxwingheadException.from(failure));
                    }
                });
    }

    private void receive(RoutedCall call, int attempt, HostId from, JobAnswer answer) {
        Runnable action = () -> {};
        synchronized (this) {
            boolean latest = call.sent && call.attempts == attempt;
            // An acceptance is final whichever attempt it answers; other answers of outdated attempts are not.
            if (open.contains(call) && (latest || answer instanceof JobAnswer.Accepted)) {
                action = receiveLatest(call, from, answer);
            }
        }
        action.run();
        if (answer instanceof JobAnswer.NotActing notActing) {
            finder.redirected(from, notActing.leader().filter(host -> !host.equals(from)));
        } else if (answer instanceof JobAnswer.OtherEpoch other) {
            finder.lost(from);
            finder.found(from, other.epoch(), "answer");
        }
        scheduleCheckIfWaiting();
    }

    private Runnable receiveLatest(RoutedCall call, HostId from, JobAnswer answer) {
        if (answer instanceof JobAnswer.NotActing) {
            call.cannotCommit = false;
            return retry(call, from + " does not act as the scheduler");
        }
        if (answer instanceof JobAnswer.OtherEpoch) {
            return retry(call, from + " acts as the scheduler in another epoch");
        }
        if (answer instanceof JobAnswer.Refused refused) {
            call.mayHaveRun = false;
            return refuse(call, refused);
        }
        return complete(call, answer.toString(), () -> call.result.complete(answer));
    }

    private Runnable refuse(RoutedCall call, JobAnswer.Refused refused) {
        if (refused.kind() != ErrorKind.NO_MAJORITY) {
            WaxwingheadException failure = WaxwingheadException.of(refused.kind(), refused.reason(), refused.remedy());
            return complete(call, refused.kind().code(), () -> call.result.completeExceptionally(failure));
        }
        return retryWhileCommitsMayResume(call, refused.reason());
    }

    /** Makes a call wait that has not run since its scheduler can't commit, or refuses it if that lasts. */
    private Runnable retryWhileCommitsMayResume(RoutedCall call, String reason) {
        long now = ticker.nanos();
        if (!call.cannotCommit) {
            call.cannotCommit = true;
            call.cannotCommitSinceNanos = now;
        }
        if (now - call.cannotCommitSinceNanos >= STORE_RECOVERY_NANOS) {
            call.reason = reason;
            return giveUp(call, GatewayEvents.Refusal.CANNOT_COMMIT);
        }
        return retry(call, reason);
    }

    private void fail(RoutedCall call, int attempt, HostId from, WaxwingheadException failure) {
        ErrorKind kind = failure.kind();
        boolean noAnswer =
                kind == ErrorKind.UNKNOWN_OUTCOME || kind == ErrorKind.UNAVAILABLE || kind == ErrorKind.NO_MAJORITY;
        Runnable action = () -> {};
        boolean latest;
        synchronized (this) {
            latest = open.contains(call) && call.sent && call.attempts == attempt;
            if (latest) {
                if (kind == ErrorKind.UNKNOWN_OUTCOME) {
                    call.markUncertain();
                }
                action = failLatest(call, failure, noAnswer);
            }
        }
        if (latest && noAnswer) {
            finder.lost(from);
        }
        action.run();
        scheduleCheckIfWaiting();
    }

    private Runnable failLatest(RoutedCall call, WaxwingheadException failure, boolean noAnswer) {
        if (failure.kind() == ErrorKind.NO_MAJORITY && !call.mayHaveRun) {
            return retryWhileCommitsMayResume(call, failure.reason());
        }
        // A failure that is no refusal says nothing about earlier attempts.
        return noAnswer || call.mayHaveRun
                ? retry(call, failure.reason())
                : complete(call, failure.kind().code(), () -> call.result.completeExceptionally(failure));
    }

    private void scheduleCheckIfWaiting() {
        if (waitingCalls() > 0) {
            scheduleCheck();
        }
    }

    /** Makes a call wait for its next attempt, or ends it if its time is over. */
    private Runnable retry(RoutedCall call, String reason) {
        end(call);
        call.reason = reason;
        call.notBeforeNanos = ticker.nanos() + RETRY_DELAY_NANOS;
        return timeOver(call) ? giveUp(call, timeOverReason(call)) : () -> {};
    }

    private Runnable giveUp(RoutedCall call, GatewayEvents.Refusal refusal) {
        remove(call);
        if (call.mayHaveRun) {
            return () -> {
                events.unknown(call);
                call.result.completeExceptionally(unknownOutcome(call.reason));
            };
        }
        return () -> {
            events.refused(call, refusal);
            call.result.completeExceptionally(noEffect(call.reason));
        };
    }

    private Runnable complete(RoutedCall call, String outcome, Runnable completion) {
        remove(call);
        return () -> {
            if (call.wasUncertain) {
                events.resolvedAfterUnknown(call, outcome);
            }
            completion.run();
        };
    }

    private void remove(RoutedCall call) {
        if (call.sent) {
            end(call);
        }
        open.remove(call);
        openBytes -= call.request.length;
        waiting--;
    }

    private static WaxwingheadException unknownOutcome(String reason) {
        return WaxwingheadException.of(
                ErrorKind.UNKNOWN_OUTCOME,
                "an attempt of the call may have taken effect; last failure: " + reason,
                "send the call again with the same id");
    }

    private static WaxwingheadException noEffect(String reason) {
        return WaxwingheadException.of(
                ErrorKind.UNAVAILABLE, reason, "the call had no effect; send it again in a second");
    }

    @Override
    public void close() {
        closer.close();
    }
}
