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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs one replica of the log.
 *
 * <p>The initial voters form the group among themselves; every other host joins as a learner by itself, and one whose
 * storage was lost rejoins under its new identity. Beside the kinds that {@link ReplicatedLog} names, requests fail
 * with {@code TOO_LARGE} for a command past the bound and with {@code LIMITED} while too many are open; both were
 * surely not accepted.
 *
 * <p>A storage that fails, or a state machine that fails with kind {@code INTERNAL} or with an untyped exception, stops
 * the replica: it acknowledges nothing more, and {@link #failure()} tells why.
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
    private final AtomicInteger open = new AtomicInteger();

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
     * Starts a replica. It uses the storage and the network until it is closed, and closes neither.
     *
     * @param settings the settings
     * @param machine the state machine, empty; it is restored from the storage first
     * @param storage the storage; a host that may vote needs one that lasts
     * @param network the network, with the other entry hosts as peers
     * @param ticker the clock
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
        ReplicaView view = loop.view();
        long now = ticker.nanos();
        long lastContact = view.lastContact().orElse(startNanos);
        long timeout = settings.consensus().electionTimeoutMin().toNanos();
        boolean inReach = view.lastContact().isPresent()
                && view.leader().isPresent()
                && now - lastContact < timeout
                && !loop.failure().isDone();
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
     * Returns what the replica counts.
     *
     * @return the counters, never null
     */
    public ReplicaCounters counters() {
        return counters;
    }

    /**
     * Completes once the replica has stopped by itself.
     *
     * @return a future of the reason; it never completes while the replica works or after an orderly close
     */
    public CompletableFuture<WaxwingheadException> failure() {
        return loop.failure().copy();
    }

    /**
     * Gives leadership up, if this replica leads, so that another takes over without waiting for its silence. The
     * replica goes on as a follower until it is closed.
     */
    public void resign() {
        loop.resign();
    }

    @Override
    public void close() {
        loop.stop();
    }

    private CompletableFuture<Done> submit(RequestKind kind, Deadline deadline) {
        if (open.incrementAndGet() > settings.maxOpenRequests()) {
            open.decrementAndGet();
            return CompletableFuture.failedFuture(WaxwingheadException.of(
                    ErrorKind.LIMITED,
                    settings.maxOpenRequests() + " requests are open on this replica",
                    "send fewer at a time, or try again later"));
        }
        Request request = new Request(kind, deadline, true);
        CompletableFuture<LogClientAnswer> unused =
                request.result.whenComplete((answer, failure) -> open.decrementAndGet());
        loop.submit(request);
        return request.result.thenApply(Done.class::cast);
    }
}
