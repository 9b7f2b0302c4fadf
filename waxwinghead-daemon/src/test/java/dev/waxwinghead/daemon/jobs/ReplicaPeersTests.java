package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ReplicaPeersTests {
    private static final HostId SELF = HostId.of("10.0.0.9");
    private static final HostId SEED = HostId.of("10.0.0.1");
    private static final HostId LEADER = HostId.of("10.0.0.4");

    private final FakeNetwork network = new FakeNetwork();
    private LogStatus log = status(Optional.empty(), List.of());
    private List<HostId> senders = List.of();
    private final ReplicaPeers peers = new ReplicaPeers(
            network, new PeerDirectory(network, 7000), () -> List.of(SEED), () -> log, () -> senders, Ticker.system());

    private static LogStatus status(Optional<HostId> leader, List<LogStatus.Member> members) {
        return new LogStatus(
                ReplicaId.of("replica-9"), LogStatus.Role.JOINING, 1, leader, 0, 0, leader.isPresent(), 0, members);
    }

    /** Heartbeats of the leader arrive before the log of this host holds the membership. */
    @Test
    void leaderRemainsAPeerWhileTheOwnLogDoesNotNameIt() {
        peers.update();
        peers.update();
        assertThat(network.hosts()).contains(LEADER);
        log = status(Optional.of(LEADER), List.of());
        peers.update();
        assertThat(network.hosts()).contains(LEADER);
    }

    /** A member was out of contact while the leader joined; it hears the leader before it asked a peer. */
    @Test
    void leaderThatTheOwnLogDoesNotNameBecomesAPeer() {
        log = status(
                Optional.of(LEADER),
                List.of(new LogStatus.Member(SEED, ReplicaId.of("replica-1"), "10.0.0.1:7000", true)));
        peers.update();
        peers.update();
        assertThat(network.hosts()).contains(LEADER);
    }

    /** All seeds lost their disks, and the other members still have them in their logs. */
    @Test
    void membersThatSendMessagesBecomePeersUntilALeaderCanBeAnswered() {
        HostId sender = HostId.of("10.0.0.5");
        senders = List.of(sender);
        peers.update();
        assertThat(network.hosts()).contains(sender);
        log = status(
                Optional.of(SEED),
                List.of(new LogStatus.Member(SEED, ReplicaId.of("replica-1"), "10.0.0.1:7000", true)));
        peers.update();
        assertThat(network.hosts()).containsExactly(SEED);
    }

    /** Answers a status call at a peer with the leader and all members, and fails it at other hosts. */
    private static final class FakeNetwork implements PeerNetwork {
        private List<PeerAddress> current = List.of();

        List<HostId> hosts() {
            return current.stream().map(PeerAddress::host).toList();
        }

        @Override
        public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
            if (!hosts().contains(to)) {
                return CompletableFuture.failedFuture(
                        WaxwingheadException.of(ErrorKind.UNAVAILABLE, to + " is not a known peer", "none"));
            }
            HostStatus status = new HostStatus(Optional.of(LEADER), List.of(SEED, LEADER), true, OptionalLong.empty());
            return CompletableFuture.completedFuture(status.pack());
        }

        @Override
        public HostId self() {
            return SELF;
        }

        @Override
        public void send(HostId to, PeerChannel channel, byte[] message) {}

        @Override
        public void onMessage(PeerChannel channel, MessageHandler handler) {}

        @Override
        public void onCall(PeerChannel channel, CallHandler handler) {}

        @Override
        public void setPeers(Collection<PeerAddress> peers) {
            current = List.copyOf(peers);
        }

        @Override
        public List<PeerStatus> peers() {
            return current.stream()
                    .map(peer -> new PeerStatus(peer.host(), DataCentreId.of("dc"), true, 0))
                    .toList();
        }

        @Override
        public void close() {}
    }
}
