package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.configuration.ConfigurationView;
import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.task.TaskCommand;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Runs the task parts of several hosts over a shared in-memory log. */
final class FakeCluster implements AutoCloseable {
    private final Closer closer = Closer.create();
    private final Map<HostId, Host> hosts = new ConcurrentSkipListMap<>();
    private final ExecutorService pool = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    private volatile boolean poolFull;
    private volatile Predicate<TaskCommand> fillsPool = command -> false;
    private final TreeMap<ManifestKey, Configuration.Entry> entries = new TreeMap<>();
    private volatile Configuration configuration = new Configuration(0, new TreeMap<>());
    private long index;

    FakeCluster() {
        closer.register(pool::shutdownNow);
        closer.register(timer::shutdownNow);
    }

    /** Makes the pool reject or accept actions. */
    void setPoolFull(boolean full) {
        poolFull = full;
    }

    /** Makes the pool reject actions from the next proposal of a matching command on. */
    void fillPoolAfter(Predicate<TaskCommand> command) {
        fillsPool = command;
    }

    boolean poolFull() {
        return poolFull;
    }

    private void executeOnPool(Runnable action) {
        if (poolFull) {
            throw new RejectedExecutionException("the pool is full");
        }
        pool.execute(action);
    }

    /** Adds a host that starts from a snapshot of a live host, if there is one, as a joining replica does. */
    synchronized Host addHost(String name, String dataCentre, Duration workerLease) {
        Host host = new Host(HostId.of(name), DataCentreId.of(dataCentre), hosts.isEmpty(), workerLease);
        hosts.values().stream()
                .filter(live -> !live.isolated)
                .findFirst()
                .ifPresent(live -> host.section().restore(live.section().snapshot()));
        host.start();
        hosts.put(host.id, host);
        return host;
    }

    synchronized void apply(String yaml) {
        long revision = configuration.revision() + 1;
        for (Manifest manifest : Manifests.readYaml(yaml)) {
            entries.put(manifest.key(), new Configuration.Entry(revision, manifest));
        }
        configuration = new Configuration(revision, new TreeMap<>(entries));
    }

    synchronized void delete(ManifestKey key) {
        entries.remove(key);
        configuration = new Configuration(configuration.revision() + 1, new TreeMap<>(entries));
    }

    @Override
    public void close() {
        closer.close();
    }

    /** A host with a task part. An isolated host neither proposes nor applies commands. */
    final class Host implements SharedState, PeerNetwork, ConfigurationView {
        final HostId id;
        final TasksPart part = TasksPart.create();
        DaemonContext context;
        final HttpListener operators = HttpListener.open(loopback(), pool);
        final HttpListener workers = HttpListener.open(loopback(), pool);
        private final DataCentreId dataCentre;
        private final boolean leader;
        private final Duration workerLease;
        private final Map<PeerChannel, MessageHandler> messages = new LinkedHashMap<>();
        private final Map<PeerChannel, CallHandler> calls = new LinkedHashMap<>();
        private volatile boolean isolated;

        Host(HostId id, DataCentreId dataCentre, boolean leader, Duration workerLease) {
            this.workerLease = workerLease;
            this.id = id;
            this.dataCentre = dataCentre;
            this.leader = leader;
        }

        void isolate() {
            isolated = true;
        }

        /** Closes the host without releasing its scheduler term first, as a killed process would. */
        void kill() {
            isolated = true;
            part.close();
            workers.close();
            operators.close();
        }

        private void start() {
            DaemonSettings settings = new DaemonSettings(
                    "test",
                    id,
                    dataCentre,
                    loopback(),
                    loopback(),
                    loopback(),
                    loopback(),
                    List.of(),
                    List.of(),
                    Optional.<Path>empty(),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(1_500),
                    workerLease,
                    4);
            context = new DaemonContext(
                    settings,
                    Ticker.system(),
                    this,
                    this,
                    this,
                    operators,
                    workers,
                    operators,
                    new SimpleMeterRegistry(),
                    timer,
                    FakeCluster.this::executeOnPool);
            part.start(context);
            operators.start();
            workers.start();
            closer.register(this::kill);
        }

        @Override
        public CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline) {
            synchronized (FakeCluster.this) {
                if (isolated) {
                    return CompletableFuture.failedFuture(
                            WaxwingheadException.of(ErrorKind.NO_MAJORITY, "host is isolated", "wait"));
                }
                index++;
                byte[] own = null;
                for (Host host : hosts.values()) {
                    byte[] result = host.isolated ? null : host.section().apply(index, command);
                    own = host == this ? result : own;
                }
                if (fillsPool.test(CommandCodec.read(command))) {
                    fillsPool = next -> false;
                    poolFull = true;
                }
                return CompletableFuture.completedFuture(own);
            }
        }

        private StateSection section() {
            return part.sections().get(0);
        }

        @Override
        public CompletableFuture<Long> readBarrier(Deadline deadline) {
            return CompletableFuture.completedFuture(index);
        }

        @Override
        public LogStatus status() {
            return new LogStatus(
                    ReplicaId.of("r-" + id),
                    leader ? LogStatus.Role.LEADER : LogStatus.Role.FOLLOWER,
                    1,
                    Optional.empty(),
                    index,
                    index,
                    !isolated,
                    0,
                    List.of());
        }

        @Override
        public HostId self() {
            return id;
        }

        @Override
        public void send(HostId to, PeerChannel channel, byte[] message) {
            if (!isolated && !hosts.get(to).isolated) {
                hosts.get(to).messages.get(channel).receive(id, message);
            }
        }

        @Override
        public CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline) {
            return hosts.get(to).calls.get(channel).answer(id, request);
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
        public void setPeers(Collection<PeerAddress> peers) {}

        @Override
        public List<PeerStatus> peers() {
            List<PeerStatus> peers = new ArrayList<>();
            for (Host host : hosts.values()) {
                if (host != this) {
                    peers.add(new PeerStatus(host.id, host.dataCentre, !host.isolated, 0));
                }
            }
            return peers;
        }

        @Override
        public void close() {}

        @Override
        public Configuration current() {
            return configuration;
        }

        @Override
        public void onChange(Consumer<Configuration> listener) {}
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }
}
