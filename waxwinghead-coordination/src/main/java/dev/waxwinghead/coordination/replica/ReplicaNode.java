package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.log.ReplicatedLog;
import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.replica.LogClientAnswer.Done;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs a replica of the log.
 *
 * <p>The initial voters form the group; every other host joins as a learner on its own, and a host that lost its
 * storage rejoins under a new identity. In addition to the kinds that {@link ReplicatedLog} names, requests fail with
 * kind {@code TOO_LARGE} if the command exceeds the size limit and with {@code LIMITED} if too many requests are open.
 * In both cases the request was definitely not accepted.
 *
 * <p>The replica stops if the storage fails, if the state machine fails with kind {@code INTERNAL} or {@code STORAGE}
 * or with an untyped exception, or if it was removed from the group. A stopped replica acknowledges no further
 * requests, and {@link #failure()} completes with the cause.
 *
 * @since 0.1
 */
public final class ReplicaNode implements ReplicatedLog {
    private final ReplicaSettings settings;
    private final ReplicaId replicaId;
    private final Ticker ticker;
    private final ReplicaCounters counters;
    private final ReplicaLoop loop;
    private final long startNanos;
    private final AtomicInteger openRequests = new AtomicInteger();

    private ReplicaNode(
            ReplicaSettings settings, ReplicaId replicaId, Ticker ticker, ReplicaCounters counters, ReplicaLoop loop) {
        this.settings = settings;
        this.replicaId = replicaId;
        this.ticker = ticker;
        this.counters = counters;
        this.loop = loop;
        this.startNanos = ticker.nanos();
    }

    /**
     * Starts a replica. The replica uses the storage and the network until it is closed, but closes neither of them.
     *
     * @param settings the settings, not null
     * @param machine the state machine, not null and empty; restored from the storage first
     * @param storage the storage, not null; must be durable on a host that may vote
     * @param network the network, not null, with the other entry hosts as peers
     * @param ticker the clock, not null
     * @return the running replica, never null
     */
    public static ReplicaNode start(
            ReplicaSettings settings,
            StateMachine machine,
            ReplicaStorage storage,
            PeerNetwork network,
            Ticker ticker) {
        ReplicaCounters counters = new ReplicaCounters();
        ReplicaLoop loop = new ReplicaLoop(settings, machine, storage, network, ticker, counters);
        ReplicaNode node = new ReplicaNode(settings, storage.replicaId(), ticker, counters, loop);
        loop.start();
        return node;
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command, Deadline deadline) {
        if (command.length > settings.maxCommandBytes()) {
            return CompletableFuture.failedFuture(WaxwingheadException.of(
                    ErrorKind.TOO_LARGE,
                    "the command has " + command.length + " bytes",
                    "split it into commands of at most " + settings.maxCommandBytes() + " bytes"));
        }
        return submit(new RequestKind.Proposal(command), deadline).thenApply(Done::result);
    }

    @Override
    public CompletableFuture<Long> readBarrier(Deadline deadline) {
        return submit(new RequestKind.ReadConfirmation(), deadline).thenApply(done -> loop.appliedIndex());
    }

    @Override
    public CompletableFuture<Void> removeMember(HostId member, Deadline deadline) {
        return submit(new RequestKind.Removal(member), deadline).thenApply(done -> null);
    }

    @Override
    public LogStatus status() {
        ReplicaView view = loop.hasFailed() ? loop.view().withoutLeader() : loop.view();
        long now = ticker.nanos();
        long lastContact = view.lastContact().orElse(startNanos);
        long timeout = settings.consensus().electionTimeoutMin().toNanos();
        boolean inReach = view.lastContact().isPresent() && view.leader().isPresent() && now - lastContact < timeout;
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(now - lastContact);
        return new LogStatus(
                replicaId,
                view.role(),
                view.term(),
                view.leader(),
                view.commitIndex(),
                loop.appliedIndex(),
                inReach,
                inReach ? 0 : System.currentTimeMillis() - silentMillis,
                view.members());
    }

    /**
     * Returns the hosts that sent consensus messages to this replica within the last 5 seconds. They may include hosts
     * that are neither peers of this host nor members in its log, but have this host in theirs.
     *
     * @return the hosts, never null
     */
    public List<HostId> recentSenders() {
        return loop.recentSenders();
    }

    /**
     * Returns the counters of the replica.
     *
     * @return the counters, never null
     */
    public ReplicaCounters counters() {
        return counters;
    }

    /**
     * Returns a future that completes once the replica has stopped because of a failure.
     *
     * @return a future of the cause, never null; doesn't complete while the replica works or after a regular close.
     *     Dependent actions run on a thread of their own and may call {@link #close()}
     */
    public CompletableFuture<WaxwingheadException> failure() {
        return loop.failure().copy();
    }

    /**
     * Gives up leadership, if this replica leads, so that another replica takes over without waiting for the election
     * timeout. This replica continues as a follower until it is closed.
     */
    public void resign() {
        loop.resign();
    }

    @Override
    public void close() {
        loop.stop();
    }

    private CompletableFuture<Done> submit(RequestKind kind, Deadline deadline) {
        if (openRequests.incrementAndGet() > settings.maxOpenRequests()) {
            openRequests.decrementAndGet();
            return CompletableFuture.failedFuture(WaxwingheadException.of(
                    ErrorKind.LIMITED,
                    settings.maxOpenRequests() + " requests are already open on this replica, which is the limit",
                    "send fewer at a time, or try again later"));
        }
        Request request = new Request(kind, deadline, true);
        CompletableFuture<LogClientAnswer> unused =
                request.result.whenComplete((answer, failure) -> openRequests.decrementAndGet());
        loop.submit(request);
        return request.result.thenApply(Done.class::cast);
    }
}
