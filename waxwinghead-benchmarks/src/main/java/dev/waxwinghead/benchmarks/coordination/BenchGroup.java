package dev.waxwinghead.benchmarks.coordination;

import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.replica.ReplicaNode;
import dev.waxwinghead.coordination.replica.ReplicaSettings;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** Runs a group of replicas in this process, each with its own TCP port, and each voter with its own data folder. */
final class BenchGroup implements AutoCloseable {
    static final Ticker TICKER = Ticker.system();
    private static final String CLUSTER = "bench";
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

    private final Path folder;
    private final long snapshotInterval;
    private final List<HostId> voters;
    private final Map<HostId, PeerAddress> addresses = new TreeMap<>();
    private final Map<HostId, Member> members = new TreeMap<>();

    private BenchGroup(Path folder, int voterCount, long snapshotInterval) {
        this.folder = folder;
        this.snapshotInterval = snapshotInterval;
        this.voters = hostIds(voterCount);
    }

    static BenchGroup start(int voterCount, int learnerCount, long snapshotInterval) throws IOException {
        Path folder = Files.createTempDirectory("waxwinghead-bench");
        BenchGroup group = new BenchGroup(folder, voterCount, snapshotInterval);
        hostIds(voterCount + learnerCount).forEach(group::startHost);
        group.await(() -> group.members.values().stream()
                .allMatch(m -> m.node().status().members().size() == voterCount + learnerCount));
        return group;
    }

    Member startHost(HostId host) {
        InetSocketAddress listen = Optional.ofNullable(addresses.get(host))
                .map(PeerAddress::address)
                .orElse(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        TcpPeerNetwork network = TcpPeerNetwork.open(TcpPeerSettings.of(CLUSTER, host, DATA_CENTRE, listen), TICKER);
        addresses.put(host, new PeerAddress(host, DATA_CENTRE, network.listenAddress()));
        ReplicaStorage storage = voters.contains(host)
                ? FileReplicaStorage.open(folder.resolve(host.value()), CLUSTER)
                : MemoryStorage.create();
        BenchStateMachine state = new BenchStateMachine();
        String address = "127.0.0.1:" + network.listenAddress().getPort();
        ReplicaSettings settings = ReplicaSettings.of(host, address, voters).withSnapshotInterval(snapshotInterval);
        Member member =
                new Member(host, network, storage, state, ReplicaNode.start(settings, state, storage, network, TICKER));
        members.put(host, member);
        members.values().forEach(m -> m.network().setPeers(addresses.values()));
        return member;
    }

    /** Stops a host at once: its connections break and its log is not synced again. */
    void stopHost(HostId host) {
        Member member = members.remove(host);
        member.network().close();
        member.node().close();
        member.storage().close();
    }

    List<Member> members() {
        return new ArrayList<>(members.values());
    }

    Member leader() {
        await(() -> currentLeader().isPresent());
        return currentLeader().orElseThrow();
    }

    void await(BooleanSupplier condition) {
        Deadline deadline = Deadline.after(AWAIT_TIMEOUT, TICKER);
        while (!condition.getAsBoolean()) {
            if (deadline.passed(TICKER)) {
                throw new IllegalStateException(
                        "the replica group did not reach the expected state before the deadline");
            }
            Thread.onSpinWait();
        }
    }

    long sentBytes() {
        return members.values().stream()
                .mapToLong(m -> m.node().counters().sentBytes())
                .sum();
    }

    long diskBytes(HostId host) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve(host.value()))) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(BenchGroup::size)
                    .sum();
        }
    }

    @Override
    public void close() {
        members().forEach(member -> stopHost(member.host()));
    }

    private Optional<Member> currentLeader() {
        return members.values().stream()
                .filter(m -> m.node().status().leader().equals(Optional.of(m.host())))
                .findFirst();
    }

    private static List<HostId> hostIds(int count) {
        List<HostId> hosts = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            hosts.add(HostId.of("e" + (char) ('a' + i)));
        }
        return hosts;
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Holds the parts of one host of the group. */
    record Member(
            HostId host, TcpPeerNetwork network, ReplicaStorage storage, BenchStateMachine state, ReplicaNode node) {}
}
