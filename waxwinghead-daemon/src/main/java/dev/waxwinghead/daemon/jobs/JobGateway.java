package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Routes calls about jobs from an entry host without a replica of the log to the host that acts as the scheduler.
 *
 * <p>All calls are idempotent, so a call without an answer is retried at another host until the routing timeout.
 */
public final class JobGateway implements AutoCloseable {
    /** The time that a call spends on finding the acting scheduler: a fraction of the shortest latency objective. */
    private static final Duration ROUTING_TIMEOUT = Duration.ofMillis(250);

    /** The time limit for the answer of one host: several times a commit on a healthy disk. */
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(900);

    private static final long RETRY_DELAY_MILLIS = 25;

    private static final long STATUS_INTERVAL_MILLIS = 500;

    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(400);

    /** The age of the latest log status up to which this host is ready; spans several failed status calls. */
    private static final long MAX_STATUS_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    private final JobHostSettings settings;
    private final PeerNetwork network;
    private final PeerDirectory directory;
    private final Ticker ticker;
    private final ScheduledExecutorService timer;
    private final Closer closer;
    private final AtomicInteger nextPeer = new AtomicInteger();
    private volatile Optional<HostId> leader = Optional.empty();
    private volatile List<HostId> members = List.of();
    private volatile boolean hasJobClasses;
    private volatile boolean statusKnown;
    private volatile long statusNanos;

    private JobGateway(
            JobHostSettings settings,
            PeerNetwork network,
            Ticker ticker,
            ScheduledExecutorService timer,
            Closer closer) {
        this.settings = settings;
        this.network = network;
        this.directory = new PeerDirectory(network, settings.peerPort());
        this.ticker = ticker;
        this.timer = timer;
        this.closer = closer;
    }

    /**
     * Opens the peer port and starts polling the status of the log.
     *
     * @param settings the settings of this host
     * @param ticker the monotonic clock
     * @return the running gateway, never null
     * @throws WaxwingheadException if the port can't be opened
     */
    public static JobGateway start(JobHostSettings settings, Ticker ticker) {
        Closer closer = Closer.create();
        return start(settings, ticker, closer.register(PeerNetworkFactory.open(settings, ticker)), closer);
    }

    static JobGateway start(JobHostSettings settings, Ticker ticker, PeerNetwork network, Closer closer) {
        ScheduledExecutorService timer = ThreadPools.timer("job-gateway", 1, closer);
        JobGateway gateway = new JobGateway(settings, network, ticker, timer, closer);
        gateway.refreshStatus();
        closer.register(
                PeriodicTask.start(timer, STATUS_INTERVAL_MILLIS, "job-gateway-status", gateway::refreshStatus));
        return gateway;
    }

    /**
     * Returns whether calls can be served, as far as this host knows.
     *
     * @return true while a host with a replica of the log answers and job classes are in force
     */
    public boolean ready() {
        return statusKnown && hasJobClasses && ticker.nanos() - statusNanos < MAX_STATUS_AGE_NANOS;
    }

    /**
     * Routes a call to the acting scheduler.
     *
     * @param call the call
     * @param deadline the time at which the caller stops waiting
     * @return the answer; fails with kind {@code UNKNOWN_OUTCOME} if any attempt may have had an effect, and with
     *     {@code UNAVAILABLE} or the kind of the scheduler's rejection if the call had no effect
     */
    public CompletableFuture<JobAnswer> call(JobCall call, Deadline deadline) {
        RoutedCall routed = new RoutedCall(call, deadline, Deadline.after(ROUTING_TIMEOUT, ticker));
        routed.send();
        return routed.result;
    }

    private void refreshStatus() {
        directory.update(settings.seeds().get(), members);
        HostId target = chooseTarget();
        if (target == null) {
            return;
        }
        CompletableFuture<byte[]> answer =
                network.call(target, PeerChannel.STATUS, new byte[0], Deadline.after(STATUS_TIMEOUT, ticker));
        CompletableFuture<HostStatus> unused = answer.thenApply(HostStatus::unpack)
                .whenComplete((status, failure) -> applyStatus(target, status, failure));
    }

    private void applyStatus(HostId from, HostStatus status, Throwable failure) {
        if (failure != null || status.leader().isEmpty()) {
            clearLeader(from);
            return;
        }
        statusKnown = true;
        statusNanos = ticker.nanos();
        // A host that has just started to join knows the leader before it knows the members and the job classes.
        hasJobClasses |= status.hasJobClasses();
        if (!status.members().isEmpty()) {
            members = status.members();
        }
        updateLeader(status.leader().get(), "status of " + from);
    }

    private void updateLeader(HostId host, String source) {
        if (!leader.equals(Optional.of(host))) {
            Event.of("scheduler-found")
                    .with("host", host)
                    .with("source", source)
                    .write();
            leader = Optional.of(host);
        }
    }

    private void clearLeader(HostId host) {
        if (leader.equals(Optional.of(host))) {
            Event.of("scheduler-lost").with("host", host).write();
            leader = Optional.empty();
        }
    }

    /** Returns the leader if known, otherwise the next peer, connected peers first; null if there are no peers. */
    private HostId chooseTarget() {
        Optional<HostId> known = leader;
        if (known.isPresent()) {
            return known.get();
        }
        List<PeerNetwork.PeerStatus> peers = network.peers();
        if (peers.isEmpty()) {
            return null;
        }
        List<PeerNetwork.PeerStatus> connected =
                peers.stream().filter(PeerNetwork.PeerStatus::connected).toList();
        List<PeerNetwork.PeerStatus> candidates = connected.isEmpty() ? peers : connected;
        return candidates
                .get(Math.floorMod(nextPeer.getAndIncrement(), candidates.size()))
                .host();
    }

    @Override
    public void close() {
        closer.close();
    }

    /** A call that is sent repeatedly until it is answered or the routing timeout has passed. */
    private final class RoutedCall {
        private final byte[] request;
        private final boolean changes;
        private final Deadline deadline;
        private final Deadline routingDeadline;
        private final CompletableFuture<JobAnswer> result = new CompletableFuture<>();
        private volatile boolean mayHaveRun;

        RoutedCall(JobCall call, Deadline deadline, Deadline routingDeadline) {
            this.request = JobCallCodec.pack(call);
            this.changes = call.changes();
            this.deadline = deadline;
            this.routingDeadline = routingDeadline;
        }

        void send() {
            HostId target = chooseTarget();
            if (target == null) {
                retry("no host with a replica of the log is known");
                return;
            }
            Deadline limit = deadline.earlier(Deadline.after(ATTEMPT_TIMEOUT, ticker));
            CompletableFuture<byte[]> answer = network.call(target, PeerChannel.JOBS, request, limit);
            CompletableFuture<JobAnswer> unused = answer.thenApply(JobCallCodec::unpackAnswer)
                    .whenComplete((decoded, failure) -> handleAnswer(target, decoded, failure));
        }

        private void handleAnswer(HostId target, JobAnswer answer, Throwable failure) {
            if (failure != null) {
                handleFailure(target, WaxwingheadException.from(failure));
            } else if (answer instanceof JobAnswer.NotActing notActing) {
                redirect(target, notActing);
            } else {
                updateLeader(target, "answer");
                result.complete(answer);
            }
        }

        private void redirect(HostId target, JobAnswer.NotActing notActing) {
            clearLeader(target);
            notActing.leader().filter(host -> !host.equals(target)).ifPresent(host -> updateLeader(host, "redirect"));
            retry(target + " does not act as the scheduler");
        }

        private void handleFailure(HostId target, WaxwingheadException failure) {
            ErrorKind kind = failure.kind();
            boolean unknown = kind == ErrorKind.UNKNOWN_OUTCOME;
            mayHaveRun |= unknown && changes;
            if (unknown || kind == ErrorKind.UNAVAILABLE || kind == ErrorKind.NO_MAJORITY) {
                clearLeader(target);
                retry(failure.reason());
            } else {
                result.completeExceptionally(mayHaveRun ? unknownOutcome(failure.reason()) : failure);
            }
        }

        private void retry(String reason) {
            if (routingDeadline.passed(ticker) || deadline.passed(ticker)) {
                result.completeExceptionally(mayHaveRun ? unknownOutcome(reason) : noEffect(reason));
                return;
            }
            Future<?> unused = timer.schedule(this::send, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }

        private WaxwingheadException unknownOutcome(String reason) {
            return WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    "an attempt of the call may have taken effect; last failure: " + reason,
                    "send the call again with the same id");
        }

        private WaxwingheadException noEffect(String reason) {
            return WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE, reason, "the call had no effect; send it again in a second");
        }
    }
}
