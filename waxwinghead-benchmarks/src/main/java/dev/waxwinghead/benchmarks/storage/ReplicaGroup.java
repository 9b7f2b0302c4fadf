package dev.waxwinghead.benchmarks.storage;

import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.replica.ReplicaNode;
import dev.waxwinghead.coordination.replica.ReplicaSettings;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Runs a group of replicas in this process, each with its own journal, connected by TCP. */
final class ReplicaGroup implements AutoCloseable {
    static final Ticker TICKER = Ticker.system();

    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final long POLL_MILLIS = 20;

    /** A number of entries that no run reaches, so that all entries stay on disk and their bytes can be counted. */
    private static final long UNREACHED_SNAPSHOT_INTERVAL = 1L << 40;

    private final Closer closer = Closer.create();
    private final List<TcpPeerNetwork> networks = new ArrayList<>();
    private final List<ReplicaNode> nodes = new ArrayList<>();
    private final List<Path> folders = new ArrayList<>();
    private int leaderIndex;

    private ReplicaGroup() {}

    /** Starts a group and waits until every replica is a member in its role. */
    static ReplicaGroup start(Path parent, int voters, int learners) throws IOException, InterruptedException {
        ReplicaGroup group = new ReplicaGroup();
        group.openNetworks(voters + learners);
        List<HostId> initialVoters =
                group.networks.stream().limit(voters).map(TcpPeerNetwork::self).toList();
        for (TcpPeerNetwork network : group.networks) {
            group.startReplica(Files.createTempDirectory(parent, "replica-benchmark-"), network, initialVoters);
        }
        group.awaitMembership(voters);
        return group;
    }

    private void openNetworks(int count) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        for (int i = 0; i < count; i++) {
            HostId host = HostId.of("e" + i);
            networks.add(closer.register(
                    TcpPeerNetwork.open(TcpPeerSettings.of("benchmark", host, DATA_CENTRE, anyPort), TICKER)));
        }
        List<PeerAddress> peers = networks.stream()
                .map(network -> new PeerAddress(network.self(), DATA_CENTRE, network.listenAddress()))
                .toList();
        networks.forEach(network -> network.setPeers(peers));
    }

    private void startReplica(Path folder, TcpPeerNetwork network, List<HostId> initialVoters) {
        folders.add(folder);
        FileReplicaStorage storage = closer.register(FileReplicaStorage.open(folder, "benchmark"));
        String address = "127.0.0.1:" + network.listenAddress().getPort();
        ReplicaSettings settings = ReplicaSettings.of(network.self(), address, initialVoters)
                .withSnapshotInterval(UNREACHED_SNAPSHOT_INTERVAL);
        nodes.add(closer.register(ReplicaNode.start(settings, new StatelessMachine(), storage, network, TICKER)));
    }

    private void awaitMembership(int voters) throws InterruptedException {
        boolean complete = false;
        while (!complete) {
            Thread.sleep(POLL_MILLIS);
            for (int i = 0; i < nodes.size(); i++) {
                LogStatus status = nodes.get(i).status();
                if (status.role() == LogStatus.Role.LEADER) {
                    leaderIndex = i;
                    long voterCount = status.members().stream()
                            .filter(LogStatus.Member::voter)
                            .count();
                    complete = status.members().size() == nodes.size() && voterCount == voters;
                }
            }
        }
    }

    ReplicaNode leader() {
        return nodes.get(leaderIndex);
    }

    TcpPeerNetwork leaderNetwork() {
        return networks.get(leaderIndex);
    }

    /** Returns the size of the leader's segment files, in bytes. */
    long leaderDiskBytes() throws IOException {
        long sum = 0;
        try (Stream<Path> files = Files.list(folders.get(leaderIndex))) {
            for (Path file : files.toList()) {
                sum += file.getFileName().toString().startsWith("segment-") ? Files.size(file) : 0;
            }
        }
        return sum;
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Ignores all commands and keeps no state. */
    private static final class StatelessMachine implements StateMachine {
        @Override
        public byte[] apply(long index, byte[] command) {
            return new byte[0];
        }

        @Override
        public byte[] snapshot() {
            return new byte[0];
        }

        @Override
        public void restore(byte[] snapshot) {}
    }
}
