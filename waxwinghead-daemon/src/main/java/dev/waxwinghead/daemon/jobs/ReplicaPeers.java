package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Keeps a host with a replica of the log connected to its seeds and to the members of the log.
 *
 * <p>The log of a host that lost its disk, or that was out of contact for long, doesn't name the current members. While
 * a host is out of contact with the group, it therefore also connects to the members that its peers report; otherwise
 * it could not reach a leader that is neither a seed nor a member in its own log.
 */
final class ReplicaPeers {
    private static final Logger LOG = Logger.getLogger(ReplicaPeers.class);
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(400);

    private final PeerNetwork network;
    private final PeerDirectory directory;
    private final Supplier<List<HostId>> seeds;
    private final Supplier<LogStatus> log;
    private final Ticker ticker;
    /** The members that each peer reported since the last contact with the group. */
    private final Map<HostId, List<HostId>> reportedMembers = new ConcurrentHashMap<>();

    ReplicaPeers(
            PeerNetwork network,
            PeerDirectory directory,
            Supplier<List<HostId>> seeds,
            Supplier<LogStatus> log,
            Ticker ticker) {
        this.network = network;
        this.directory = directory;
        this.seeds = seeds;
        this.log = log;
        this.ticker = ticker;
    }

    /** Updates the peers. Asks them for the members if this host is out of contact with the group. */
    void update() {
        if (log.get().majorityInReach()) {
            reportedMembers.clear();
        } else {
            network.peers().forEach(peer -> askForMembers(peer.host()));
        }
        connect();
    }

    private void askForMembers(HostId peer) {
        Deadline deadline = Deadline.after(STATUS_TIMEOUT, ticker);
        CompletableFuture<HostStatus> unused = network.call(peer, PeerChannel.STATUS, new byte[0], deadline)
                .thenApply(HostStatus::unpack)
                .whenComplete((status, failure) -> handleAnswer(peer, status, failure));
    }

    private void handleAnswer(HostId peer, HostStatus status, Throwable failure) {
        if (failure == null) {
            recordMembers(peer, status.members());
        } else {
            // The peer is asked again with the next update.
            LOG.debugf(failure, "%s does not report the members", peer);
        }
    }

    private void recordMembers(HostId peer, List<HostId> members) {
        if (!members.isEmpty() && !members.equals(reportedMembers.put(peer, members))) {
            Event.of("members-reported")
                    .with("from", peer)
                    .with("members", members)
                    .write();
            connect();
        }
    }

    private synchronized void connect() {
        Set<HostId> members = new LinkedHashSet<>();
        log.get().members().forEach(member -> members.add(member.host()));
        reportedMembers.values().forEach(members::addAll);
        directory.update(seeds.get(), members);
    }
}
