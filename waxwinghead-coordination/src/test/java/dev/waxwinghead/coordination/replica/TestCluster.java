package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.ConsensusSettings;
import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

/** Runs replicas of a log of texts in this process, connected by a {@link MemoryNetwork}. */
final class TestCluster implements AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(20);

    final MemoryNetwork network = new MemoryNetwork();
    private final Map<HostId, Host> hosts = new TreeMap<>();
    private final List<HostId> voters;
    private final long snapshotInterval;

    private TestCluster(List<HostId> voters, long snapshotInterval) {
        this.voters = voters;
        this.snapshotInterval = snapshotInterval;
    }

    static TestCluster start(int voters, int learners, long snapshotInterval) {
        List<HostId> all = new ArrayList<>();
        for (int i = 1; i <= voters + learners; i++) {
            all.add(HostId.of("e" + i));
        }
        TestCluster cluster = new TestCluster(all.subList(0, voters), snapshotInterval);
        all.forEach(host -> cluster.startEmpty(host));
        return cluster;
    }

    Host startEmpty(HostId host) {
        return start(host, MemoryStorage.create());
    }

    Host start(HostId id, ReplicaStorage storage) {
        PeerNetwork port = network.open(id);
        TextStateMachine stateMachine = new TextStateMachine();
        ReplicaSettings settings = ReplicaSettings.of(id, "127.0.0.1:1", voters)
                .withSnapshotInterval(snapshotInterval)
                .withConsensus(consensus());
        FaultyStorage faultyStorage = new FaultyStorage(storage);
        ReplicaNode node = ReplicaNode.start(settings, stateMachine, faultyStorage, port, Ticker.system());
        Host host = new Host(id, node, stateMachine, storage, faultyStorage, port);
        hosts.put(id, host);
        return host;
    }

    /**
     * Returns the default timing with small batches and chunks and few trailing entries, so that members need
     * snapshots.
     */
    private static ConsensusSettings consensus() {
        ConsensusSettings defaults = ConsensusSettings.defaults();
        return new ConsensusSettings(
                defaults.heartbeatInterval(),
                defaults.electionTimeoutMin(),
                defaults.electionTimeoutMax(),
                1024,
                4,
                512,
                16,
                64);
    }

    Host stop(HostId id) {
        Host host = hosts.remove(id);
        host.port().close();
        host.faultyStorage().releaseSyncs();
        host.node().close();
        return host;
    }

    Host host(int number) {
        return hosts.get(HostId.of("e" + number));
    }

    Host host(HostId id) {
        return hosts.get(id);
    }

    List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    Host leader() {
        AtomicReference<Host> found = new AtomicReference<>();
        await(
                () -> {
                    currentLeader().ifPresent(found::set);
                    return found.get() != null;
                },
                "a leader");
        return found.get();
    }

    Optional<Host> currentLeader() {
        return hosts().stream()
                .filter(h -> h.node().status().leader().equals(Optional.of(h.id())))
                .max(Comparator.comparingLong(h -> h.node().status().term()));
    }

    static void await(BooleanSupplier condition, String expectation) {
        Deadline deadline = Deadline.after(TIMEOUT, Ticker.system());
        while (!condition.getAsBoolean()) {
            if (deadline.passed(Ticker.system())) {
                throw new AssertionError("timed out waiting for " + expectation);
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        hosts().forEach(host -> stop(host.id()));
        network.close();
    }

    /** Holds a host with its replica, state machine, storage and network. */
    record Host(
            HostId id,
            ReplicaNode node,
            TextStateMachine stateMachine,
            ReplicaStorage storage,
            FaultyStorage faultyStorage,
            PeerNetwork port) {
        CompletableFuture<byte[]> propose(String text) {
            return propose(text, TIMEOUT);
        }

        CompletableFuture<byte[]> propose(String text, Duration timeout) {
            return node.propose(text.getBytes(StandardCharsets.UTF_8), Deadline.after(timeout, Ticker.system()));
        }

        CompletableFuture<Long> readBarrier(Duration timeout) {
            return node.readBarrier(Deadline.after(timeout, Ticker.system()));
        }

        boolean isVoter() {
            return node.status().members().stream().anyMatch(m -> m.replica().equals(storage.replicaId()) && m.voter());
        }
    }

    /** Collects the applied texts. The result of a command is the number of texts applied so far. */
    static final class TextStateMachine implements StateMachine {
        /** A command whose application fails. */
        static final String FAILING_COMMAND = "broken";

        private List<String> texts = new ArrayList<>();

        synchronized List<String> all() {
            return List.copyOf(texts);
        }

        @Override
        public synchronized byte[] apply(long index, byte[] command) {
            String text = new String(command, StandardCharsets.UTF_8);
            if (text.equals(FAILING_COMMAND)) {
                throw new IllegalStateException(text);
            }
            texts.add(text);
            return Integer.toString(texts.size()).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public synchronized byte[] snapshot() {
            return String.join("\n", texts).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public synchronized void restore(byte[] snapshot) {
            texts = new ArrayList<>(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
        }
    }
}
