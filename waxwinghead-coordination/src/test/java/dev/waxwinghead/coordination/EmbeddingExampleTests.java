package dev.waxwinghead.coordination;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.coordination.log.ReplicatedLog;
import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.replica.ReplicaNode;
import dev.waxwinghead.coordination.replica.ReplicaSettings;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Embeds the library like a program on three hosts that share a counter, and restarts all hosts. */
class EmbeddingExampleTests {
    private static final List<HostId> HOSTS = List.of(HostId.of("e1"), HostId.of("e2"), HostId.of("e3"));
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final Ticker TICKER = Ticker.system();

    @TempDir
    Path folder;

    @Test
    void sharedCounterSurvivesARestart() {
        List<SharedCounter> counters = newCounters();
        try (Closer closer = Closer.create()) {
            List<ReplicatedLog> logs = open(closer, counters);
            assertThat(add(logs.get(0), 40)).isEqualTo(40);
            assertThat(add(logs.get(1), 2)).isEqualTo(42);
        }
        List<SharedCounter> restarted = newCounters();
        try (Closer closer = Closer.create()) {
            List<ReplicatedLog> logs = open(closer, restarted);
            logs.get(2).readBarrier(requestDeadline()).join();
            assertThat(restarted.get(2).value()).isEqualTo(42);
        }
    }

    private List<ReplicatedLog> open(Closer closer, List<SharedCounter> counters) {
        List<TcpPeerNetwork> networks = new ArrayList<>();
        List<PeerAddress> addresses = new ArrayList<>();
        for (HostId host : HOSTS) {
            InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            TcpPeerSettings settings = TcpPeerSettings.of("example", host, DATA_CENTRE, listen);
            TcpPeerNetwork network = closer.register(TcpPeerNetwork.open(settings, TICKER));
            networks.add(network);
            addresses.add(new PeerAddress(host, DATA_CENTRE, network.listenAddress()));
        }
        List<ReplicatedLog> logs = new ArrayList<>();
        for (int i = 0; i < HOSTS.size(); i++) {
            HostId host = HOSTS.get(i);
            FileReplicaStorage storage =
                    closer.register(FileReplicaStorage.open(folder.resolve(host.value()), "example"));
            String address = "127.0.0.1:" + addresses.get(i).address().getPort();
            ReplicaSettings settings = ReplicaSettings.of(host, address, HOSTS);
            logs.add(closer.register(ReplicaNode.start(settings, counters.get(i), storage, networks.get(i), TICKER)));
            networks.get(i).setPeers(addresses);
        }
        return logs;
    }

    private static long add(ReplicatedLog log, long amount) {
        byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(amount).array();
        return ByteBuffer.wrap(log.propose(command, requestDeadline()).join()).getLong();
    }

    private static Deadline requestDeadline() {
        return Deadline.after(Duration.ofSeconds(20), TICKER);
    }

    private static List<SharedCounter> newCounters() {
        return HOSTS.stream().map(host -> new SharedCounter()).toList();
    }

    /** Sums the proposed amounts. */
    private static final class SharedCounter implements StateMachine {
        private long value;

        synchronized long value() {
            return value;
        }

        @Override
        public synchronized byte[] apply(long index, byte[] command) {
            value += ByteBuffer.wrap(command).getLong();
            return snapshot();
        }

        @Override
        public synchronized byte[] snapshot() {
            return ByteBuffer.allocate(Long.BYTES).putLong(value).array();
        }

        @Override
        public synchronized void restore(byte[] snapshot) {
            value = ByteBuffer.wrap(snapshot).getLong();
        }
    }
}
