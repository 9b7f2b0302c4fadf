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

/** Runs a group of replicas in this process, each with a journal of its own and TCP between them. */
final class ReplicaGroup implements AutoCloseable {
    static final Ticker TICKER = Ticker.system();

    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final long POLL_MILLIS = 20;

    /** Keeps all entries on disk, so that their bytes can be counted. */
    private static final long NO_SNAPSHOTS = 1L << 40;

    private final Closer closer = Closer.create();
    private final List<TcpPeerNetwork> networks = new ArrayList<>();
    private final List<ReplicaNode> nodes = new ArrayList<>();
    private final List<Path> folders = new ArrayList<>();
    private int leader;

    private ReplicaGroup() {}

    /** Starts a group and waits until every replica has its place in it. */
    static ReplicaGroup start(Path parent, int voters, int learners) throws IOException, InterruptedException {
        ReplicaGroup group = new ReplicaGroup();
        group.openNetworks(voters + learners);
        List<HostId> initialVoters =
                group.networks.stream().limit(voters).map(TcpPeerNetwork::self).toList();
        for (TcpPeerNetwork network : group.networks) {
            group.startReplica(Files.createTempDirectory(parent, "replica-benchmark-"), network, initialVoters);
        }
        group.awaitComplete(voters);
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
        ReplicaSettings settings =
                ReplicaSettings.of(network.self(), address, initialVoters).withSnapshotInterval(NO_SNAPSHOTS);
        nodes.add(closer.register(ReplicaNode.start(settings, new EmptyMachine(), storage, network, TICKER)));
    }

    private void awaitComplete(int voters) throws InterruptedException {
        boolean complete = false;
        while (!complete) {
            Thread.sleep(POLL_MILLIS);
            for (int i = 0; i < nodes.size(); i++) {
                LogStatus status = nodes.get(i).status();
                if (status.role() == LogStatus.Role.LEADER) {
                    leader = i;
                    long voting = status.members().stream()
                            .filter(LogStatus.Member::voter)
                            .count();
                    complete = status.members().size() == nodes.size() && voting == voters;
                }
            }
        }
    }

    ReplicaNode leader() {
        return nodes.get(leader);
    }

    TcpPeerNetwork leaderNetwork() {
        return networks.get(leader);
    }

    /** Returns the bytes that the leader's segments take. */
    long leaderDiskBytes() throws IOException {
        long sum = 0;
        try (Stream<Path> files = Files.list(folders.get(leader))) {
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

    /** Keeps no state. */
    private static final class EmptyMachine implements StateMachine {
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
