package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Finds the acting scheduler for an entry host without a replica of the log, by asking hosts with a replica for their
 * status.
 */
final class SchedulerFinder {
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(400);

    /**
     * The interval at which hosts are asked while calls wait for a scheduler or for its answer. 40 entry hosts ask each
     * of 6 hosts about 130 times per second.
     */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The age of the latest log status up to which this host is ready; spans several failed status calls. */
    private static final long MAX_STATUS_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /** The time without any connection after which all hosts count as gone; longer than a connection is re-dialled. */
    private static final long UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final JobHostSettings settings;
    private final PeerNetwork network;
    private final PeerDirectory directory;
    private final Ticker ticker;
    private final Runnable onFound;
    private List<HostId> members = List.of();
    private Optional<HostId> leader = Optional.empty();
    private int nextPeer;
    private boolean askLeader;
    private long probeNanos;
    private long redirectNanos;
    private long connectedNanos;
    private boolean hasJobClasses;
    private boolean statusKnown;
    private long statusNanos;
    private volatile Optional<SchedulerEpoch> acting = Optional.empty();

    /**
     * Creates a finder.
     *
     * @param onFound runs after each change of the acting scheduler to a known one; must not block
     */
    SchedulerFinder(JobHostSettings settings, PeerNetwork network, Ticker ticker, Runnable onFound) {
        this.settings = settings;
        this.network = network;
        this.directory = new PeerDirectory(network, settings.peerPort());
        this.ticker = ticker;
        this.onFound = onFound;
        this.connectedNanos = ticker.nanos();
        this.probeNanos = ticker.nanos() - PROBE_INTERVAL_NANOS;
        this.redirectNanos = probeNanos;
    }

    /** Returns the acting scheduler, or empty if it is not known at the moment. */
    Optional<SchedulerEpoch> acting() {
        return acting;
    }

    /** Returns whether a host with a replica answered recently and job classes are in force. */
    synchronized boolean ready() {
        return statusKnown && hasJobClasses && ticker.nanos() - statusNanos < MAX_STATUS_AGE_NANOS;
    }

    /** Returns whether a host with a replica is connected or has been until recently. */
    synchronized boolean reachable() {
        long now = ticker.nanos();
        if (network.peers().stream().anyMatch(PeerNetwork.PeerStatus::connected)) {
            connectedNanos = now;
        }
        return now - connectedNanos < UNREACHABLE_NANOS;
    }

    /** Updates the peers and asks a host for its status. */
    void refresh() {
        Optional<HostId> target;
        synchronized (this) {
            directory.update(settings.seeds().get(), members);
            target = acting.map(SchedulerEpoch::host).or(this::nextTarget);
        }
        target.ifPresent(this::requestStatus);
    }

    /** Asks the next host for its status, unless a host was asked a moment ago. */
    void probe() {
        Optional<HostId> target;
        synchronized (this) {
            long now = ticker.nanos();
            if (now - probeNanos < PROBE_INTERVAL_NANOS) {
                return;
            }
            probeNanos = now;
            target = nextTarget();
        }
        target.ifPresent(this::requestStatus);
    }

    /** Notes that a host does not act, or did not answer. */
    synchronized void lost(HostId host) {
        if (acting.isPresent() && acting.get().host().equals(host)) {
            Event.of("scheduler-lost")
                    .with("host", host)
                    .with("epoch", acting.get().epoch())
                    .write();
            acting = Optional.empty();
        }
        leader = leader.filter(known -> !known.equals(host));
    }

    /** Notes that a host does not act and which host it takes for the leader of the log. */
    void redirected(HostId from, Optional<HostId> to) {
        boolean changed;
        synchronized (this) {
            lost(from);
            changed = to.isPresent() && !leader.equals(to);
            if (changed) {
                leader = to;
            }
            // Two hosts that name each other are asked at the usual interval, not as fast as they answer.
            long now = ticker.nanos();
            changed &= now - redirectNanos >= PROBE_INTERVAL_NANOS;
            redirectNanos = changed ? now : redirectNanos;
        }
        if (changed && !to.get().equals(from)) {
            requestStatus(to.get());
        }
    }

    /** Notes that a host acts as the scheduler. */
    void found(HostId host, long epoch, String source) {
        SchedulerEpoch scheduler = new SchedulerEpoch(host, epoch);
        synchronized (this) {
            boolean outdated = acting.isPresent() && acting.get().epoch() >= epoch;
            if (outdated) {
                return;
            }
            Event.of("scheduler-found")
                    .with("host", host)
                    .with("epoch", epoch)
                    .with("source", source)
                    .write();
            acting = Optional.of(scheduler);
            leader = Optional.of(host);
        }
        onFound.run();
    }

    private void requestStatus(HostId target) {
        CompletableFuture<byte[]> answer =
                network.call(target, PeerChannel.STATUS, new byte[0], Deadline.after(STATUS_TIMEOUT, ticker));
        CompletableFuture<HostStatus> unused = answer.thenApply(HostStatus::unpack)
                .whenComplete((status, failure) -> applyStatus(target, status, failure));
    }

    private void applyStatus(HostId from, HostStatus status, Throwable failure) {
        if (failure != null || status.leader().isEmpty()) {
            lost(from);
            return;
        }
        synchronized (this) {
            statusKnown = true;
            statusNanos = ticker.nanos();
            // A host that has just started to join knows the leader before it knows the members and the job classes.
            hasJobClasses |= status.hasJobClasses();
            if (!status.members().isEmpty()) {
                members = status.members();
            }
        }
        if (status.epoch().isPresent()) {
            found(from, status.epoch().getAsLong(), "status");
        } else {
            redirected(from, status.leader());
        }
    }

    /** Returns the supposed leader and the other peers in turn, connected peers first; empty if there are no peers. */
    private Optional<HostId> nextTarget() {
        askLeader = !askLeader;
        if (askLeader && leader.isPresent()) {
            return leader;
        }
        List<PeerNetwork.PeerStatus> peers = network.peers();
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        List<PeerNetwork.PeerStatus> connected =
                peers.stream().filter(PeerNetwork.PeerStatus::connected).toList();
        List<PeerNetwork.PeerStatus> candidates = connected.isEmpty() ? peers : connected;
        nextPeer++;
        return Optional.of(
                candidates.get(Math.floorMod(nextPeer, candidates.size())).host());
    }
}
