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
 * <p>The log of a host that lost its disk, or that was out of contact for long, doesn't name the current members. Until
 * such a host is in contact with a leader that its own log names, it therefore also connects to the leader that it
 * hears from, to all hosts that send it consensus messages and to the members that its peers report; otherwise it could
 * neither reach nor answer a leader that is neither a seed nor a member in its own log.
 */
final class ReplicaPeers {
    private static final Logger LOG = Logger.getLogger(ReplicaPeers.class);
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(400);

    private final PeerNetwork network;
    private final PeerDirectory directory;
    private final Supplier<List<HostId>> seeds;
    private final Supplier<LogStatus> log;
    private final Supplier<List<HostId>> recentSenders;
    private final Ticker ticker;
    /** The members, and the leader, that each peer reported since the last contact with the group. */
    private final Map<HostId, Set<HostId>> reportedMembers = new ConcurrentHashMap<>();

    ReplicaPeers(
            PeerNetwork network,
            PeerDirectory directory,
            Supplier<List<HostId>> seeds,
            Supplier<LogStatus> log,
            Supplier<List<HostId>> recentSenders,
            Ticker ticker) {
        this.network = network;
        this.directory = directory;
        this.seeds = seeds;
        this.log = log;
        this.recentSenders = recentSenders;
        this.ticker = ticker;
    }

    /** Updates the peers. Asks them for the members if this host is out of contact with the group. */
    void update() {
        if (canAnswerLeader(log.get())) {
            reportedMembers.clear();
        } else {
            network.peers().forEach(peer -> askForMembers(peer.host()));
        }
        connect();
    }

    /** Returns whether this host is in contact with a leader that its own log names, and therefore has a link to it. */
    private static boolean canAnswerLeader(LogStatus status) {
        return status.majorityInReach()
                && hosts(status).contains(status.leader().orElseThrow());
    }

    private static List<HostId> hosts(LogStatus status) {
        return status.members().stream().map(LogStatus.Member::host).toList();
    }

    private void askForMembers(HostId peer) {
        Deadline deadline = Deadline.after(STATUS_TIMEOUT, ticker);
        CompletableFuture<HostStatus> unused = network.call(peer, PeerChannel.STATUS, new byte[0], deadline)
                .thenApply(HostStatus::unpack)
                .whenComplete((status, failure) -> handleAnswer(peer, status, failure));
    }

    private void handleAnswer(HostId peer, HostStatus status, Throwable failure) {
        if (failure == null) {
            Set<HostId> members = new LinkedHashSet<>(status.members());
            status.leader().ifPresent(members::add);
            recordMembers(peer, members);
        } else {
            // The peer is asked again with the next update.
            LOG.debugf(failure, "%s does not report the members", peer);
        }
    }

    private void recordMembers(HostId peer, Set<HostId> members) {
        if (!members.isEmpty() && !members.equals(reportedMembers.put(peer, members))) {
            Event.of("members-reported")
                    .with("from", peer)
                    .with("members", members)
                    .write();
            connect();
        }
    }

    private synchronized void connect() {
        LogStatus status = log.get();
        Set<HostId> members = new LinkedHashSet<>(hosts(status));
        status.leader().ifPresent(members::add);
        if (!canAnswerLeader(status)) {
            members.addAll(recentSenders.get());
        }
        reportedMembers.values().forEach(members::addAll);
        directory.update(seeds.get(), members);
    }
}
