package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SectionedStateMachine;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

/**
 * A cluster of entry hosts in one process, with an in-memory peer network that can be partitioned and one log that is
 * applied to the state machines of all hosts.
 */
final class TestCluster implements AutoCloseable {
    private final List<TestHost> hosts = new CopyOnWriteArrayList<>();
    private final List<byte[]> log = new ArrayList<>();
    private final Map<HostId, Integer> partitions = new ConcurrentHashMap<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<PeerAddress> declared = new ArrayList<>();
    private final Ticker ticker;
    private final Supplier<ScheduledExecutorService> timers;
    private volatile boolean majority = true;

    /** Declares the hosts, each as {@code id@dataCentre}, without starting them. */
    TestCluster(String... hosts) {
        this(Ticker.system(), () -> Executors.newScheduledThreadPool(1), hosts);
    }

    /** Declares hosts that take the time from a clock that the test moves. */
    TestCluster(ManualClock clock, String... hosts) {
        this(clock, clock::timer, hosts);
    }

    private TestCluster(Ticker ticker, Supplier<ScheduledExecutorService> timers, String... hosts) {
        this.ticker = ticker;
        this.timers = timers;
        for (String host : hosts) {
            String[] parts = host.split("@", -1);
            declared.add(new PeerAddress(
                    HostId.of(parts[0]),
                    DataCentreId.of(parts[1]),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        }
    }

    Ticker ticker() {
        return ticker;
    }

    /** Returns the timer for another host. */
    ScheduledExecutorService newTimer() {
        return timers.get();
    }

    List<PeerAddress> declared() {
        return declared;
    }

    /** Starts all declared hosts with the given manifests in force. */
    List<TestHost> addAll(String... manifests) {
        declared.forEach(each -> hosts.add(TestHost.start(this, each.host(), each.dataCentre(), manifests)));
        return List.copyOf(hosts);
    }

    /** Moves hosts to a partition; hosts of different partitions can't reach each other. */
    void moveToPartition(int partition, TestHost... moved) {
        for (TestHost host : moved) {
            partitions.put(host.id(), partition);
        }
    }

    void loseMajority() {
        majority = false;
    }

    TestPeers peersOf(HostId host) {
        return new TestPeers(host);
    }

    private boolean canReach(HostId one, HostId other) {
        return partitions.getOrDefault(one, 0).equals(partitions.getOrDefault(other, 0));
    }

    private Optional<TestHost> find(HostId id) {
        return hosts.stream()
                .filter(host -> host.id().equals(id) && !host.closed())
                .findFirst();
    }

    @Override
    public void close() {
        hosts.forEach(TestHost::close);
        threads.shutdownNow();
    }

    /** Appends proposals to the common log and applies them on every host. */
    final class TestSharedState implements SharedState {
        private final SectionedStateMachine machine;

        TestSharedState(SectionedStateMachine machine) {
            this.machine = machine;
            synchronized (log) {
                for (int i = 0; i < log.size(); i++) {
                    machine.apply(i + 1L, log.get(i));
                }
            }
        }

        @Override
        public CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline) {
            return CompletableFuture.supplyAsync(
                    () -> {
                        if (!majority) {
                            throw noMajority();
                        }
                        return append(SectionedStateMachine.envelope(section, command));
                    },
                    threads);
        }

        private WaxwingheadException noMajority() {
            return WaxwingheadException.of(ErrorKind.NO_MAJORITY, "no majority", "try again later");
        }

        private byte[] append(byte[] command) {
            synchronized (log) {
                log.add(command);
                byte[] own = null;
                for (TestHost host : hosts) {
                    byte[] result = host.state().machine.apply(log.size(), command);
                    own = host.state() == this ? result : own;
                }
                return own;
            }
        }

        @Override
        public CompletableFuture<Long> readBarrier(Deadline deadline) {
            return majority
                    ? CompletableFuture.completedFuture((long) log.size())
                    : CompletableFuture.failedFuture(noMajority());
        }

        @Override
        public LogStatus status() {
            return new LogStatus(
                    ReplicaId.of("r1"), LogStatus.Role.FOLLOWER, 1, Optional.empty(), 0, 0, majority, 0, List.of());
        }
    }

    /** The peer network as seen by one host. */
    final class TestPeers implements PeerNetwork {
        private final HostId self;
        private final Map<PeerChannel, MessageHandler> messages = new EnumMap<>(PeerChannel.class);
        private final Map<PeerChannel, CallHandler> calls = new EnumMap<>(PeerChannel.class);

        private TestPeers(HostId self) {
            this.self = self;
        }

        @Override
        public HostId self() {
            return self;
        }

        @Override
        public void send(HostId to, PeerChannel channel, byte[] message) {
            threads.execute(() -> find(to).filter(host -> canReach(self, to))
                    .map(host -> host.peers().messages.get(channel))
                    .ifPresent(handler -> handler.receive(self, message)));
        }

        @Override
        public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
            Optional<CallHandler> handler = find(to).filter(host -> canReach(self, to))
                    .map(host -> host.peers().calls.get(channel));
            if (handler.isEmpty()) {
                return CompletableFuture.failedFuture(
                        WaxwingheadException.of(ErrorKind.UNAVAILABLE, to + " can't be reached", "try again later"));
            }
            return CompletableFuture.completedFuture(request)
                    .thenComposeAsync(bytes -> handler.get().answer(self, bytes), threads);
        }

        @Override
        public void onMessage(PeerChannel channel, MessageHandler handler) {
            messages.put(channel, handler);
        }

        @Override
        public void onCall(PeerChannel channel, CallHandler handler) {
            calls.put(channel, handler);
        }

        @Override
        public void setPeers(Collection<PeerAddress> peers) {
            throw new UnsupportedOperationException("the peers are fixed by the cluster");
        }

        @Override
        public List<PeerStatus> peers() {
            return hosts.stream()
                    .filter(host -> !host.id().equals(self))
                    .map(host -> new PeerStatus(
                            host.id(), host.dataCentre(), !host.closed() && canReach(self, host.id()), ticker.nanos()))
                    .toList();
        }

        @Override
        public void close() {
            messages.clear();
        }
    }
}
