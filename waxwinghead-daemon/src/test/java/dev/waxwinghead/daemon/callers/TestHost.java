package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.daemon.claims.ClaimsPart;
import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.configuration.ConfigurationView;
import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.daemon.shares.SharesPart;
import dev.waxwinghead.daemon.state.SectionedStateMachine;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.daemon.upstreams.UpstreamsPart;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Manifests;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** An entry host of a {@link TestCluster} with HTTP listeners on the loopback address. */
final class TestHost implements AutoCloseable {
    private static final int THREADS = 24;

    private final Closer closer = Closer.create();
    private final HostId id;
    private final DataCentreId dataCentre;
    private final TestCluster.TestPeers peers;
    private final TestCluster.TestSharedState state;
    private final UpstreamsPart upstreams = UpstreamsPart.create();
    private final SharesPart shares = SharesPart.create(upstreams);
    private final ClaimsPart claims = ClaimsPart.create();
    private final CallersPart callers = CallersPart.create(upstreams, shares, claims);
    private final MeterRegistry meters = new SimpleMeterRegistry();
    private final HttpListener callerHttp;
    private final HttpListener workerHttp;
    private final HttpListener operatorHttp;
    private volatile boolean closed;
    private volatile boolean poolFull;
    private final AtomicInteger poolActions = new AtomicInteger();

    private TestHost(TestCluster cluster, HostId id, DataCentreId dataCentre, List<Manifest> manifests) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.peers = cluster.peersOf(id);
        List<DaemonPart> parts = List.of(upstreams, shares, claims, callers);
        List<StateSection> sections =
                parts.stream().flatMap(part -> part.sections().stream()).toList();
        this.state = cluster.new TestSharedState(SectionedStateMachine.of(sections));
        ExecutorService pool = Executors.newFixedThreadPool(THREADS);
        ScheduledExecutorService timer = cluster.newTimer();
        closer.register(pool::shutdownNow);
        closer.register(timer::shutdownNow);
        callerHttp = closer.register(HttpListener.open(anyPort(), Executors.newFixedThreadPool(THREADS)));
        workerHttp = closer.register(HttpListener.open(anyPort(), pool));
        operatorHttp = closer.register(HttpListener.open(anyPort(), pool));
        DaemonContext context = new DaemonContext(
                settings(cluster.declared()),
                cluster.ticker(),
                state,
                fixed(manifests),
                peers,
                callerHttp,
                workerHttp,
                operatorHttp,
                meters,
                timer,
                action -> {
                    if (poolFull) {
                        throw new RejectedExecutionException("the pool is full");
                    }
                    pool.execute(action);
                    poolActions.incrementAndGet();
                });
        for (DaemonPart part : parts) {
            part.start(context);
            closer.register(part);
        }
        List.of(callerHttp, workerHttp, operatorHttp).forEach(HttpListener::start);
    }

    static TestHost start(TestCluster cluster, HostId id, DataCentreId dataCentre, String... manifests) {
        return new TestHost(
                cluster,
                id,
                dataCentre,
                manifests.length == 0 ? List.of() : Manifests.readYaml(String.join("\n---\n", manifests)));
    }

    /** Makes the pool for work that may block reject or accept actions. */
    void setPoolFull(boolean full) {
        poolFull = full;
    }

    /** Returns how many actions the pool for work that may block has accepted. */
    int poolActions() {
        return poolActions.get();
    }

    HostId id() {
        return id;
    }

    DataCentreId dataCentre() {
        return dataCentre;
    }

    TestCluster.TestPeers peers() {
        return peers;
    }

    TestCluster.TestSharedState state() {
        return state;
    }

    UpstreamsPart upstreams() {
        return upstreams;
    }

    CallersPart callers() {
        return callers;
    }

    MeterRegistry meters() {
        return meters;
    }

    boolean closed() {
        return closed;
    }

    URI announceUri() {
        return URI.create("http://127.0.0.1:" + workerHttp.address().getPort() + "/upstream/v1/announce");
    }

    URI operatorUri(String path) {
        return URI.create("http://127.0.0.1:" + operatorHttp.address().getPort() + path);
    }

    URI callerUri(String path) {
        return URI.create("http://127.0.0.1:" + callerHttp.address().getPort() + path);
    }

    /** Returns a builder for a caller's request to the service {@code quotes}. */
    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(callerUri("/call/quotes" + path)).timeout(Duration.ofSeconds(30));
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            closer.close();
        }
    }

    private DaemonSettings settings(List<PeerAddress> declared) {
        InetSocketAddress none = anyPort();
        return new DaemonSettings(
                "test",
                id,
                dataCentre,
                none,
                none,
                none,
                none,
                declared,
                List.of(id),
                Optional.empty(),
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                Duration.ofSeconds(5),
                THREADS);
    }

    private static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    private static ConfigurationView fixed(List<Manifest> manifests) {
        TreeMap<ManifestKey, Configuration.Entry> entries = new TreeMap<>();
        manifests.forEach(manifest -> entries.put(manifest.key(), new Configuration.Entry(1, manifest)));
        Configuration configuration = new Configuration(1, entries);
        return new ConfigurationView() {
            @Override
            public Configuration current() {
                return configuration;
            }

            @Override
            public void onChange(Consumer<Configuration> listener) {}
        };
    }
}
