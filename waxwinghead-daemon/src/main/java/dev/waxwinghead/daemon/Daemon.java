package dev.waxwinghead.daemon;

import dev.waxwinghead.coordination.journal.FileReplicaStorage;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.replica.ReplicaNode;
import dev.waxwinghead.coordination.replica.ReplicaSettings;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.tcp.TcpPeerNetwork;
import dev.waxwinghead.coordination.tcp.TcpPeerSettings;
import dev.waxwinghead.daemon.callers.CallersPart;
import dev.waxwinghead.daemon.claims.ClaimsPart;
import dev.waxwinghead.daemon.configuration.ConfigurationSection;
import dev.waxwinghead.daemon.http.HttpListener;
import dev.waxwinghead.daemon.operator.DrainKind;
import dev.waxwinghead.daemon.operator.Drainer;
import dev.waxwinghead.daemon.operator.OperatorPart;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PauseDetector;
import dev.waxwinghead.daemon.settings.DaemonSettings;
import dev.waxwinghead.daemon.shares.SharesPart;
import dev.waxwinghead.daemon.state.LogSharedState;
import dev.waxwinghead.daemon.state.SectionedStateMachine;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.daemon.tasks.TasksPart;
import dev.waxwinghead.daemon.upstreams.UpstreamsPart;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jboss.logging.Logger;

/**
 * Composes and runs the parts of an entry host.
 *
 * <p>The resources are opened in this order and closed in reverse order: thread pools, storage, peer network, replica
 * of the log, HTTP listeners, parts.
 */
final class Daemon {
    private static final Logger LOG = Logger.getLogger(Daemon.class);
    private static final int EXIT_DRAINED = 0;

    private final DaemonSettings settings;
    private final Ticker ticker = Ticker.system();
    private final Closer closer = Closer.create();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final CompletableFuture<Integer> ended = new CompletableFuture<>();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private List<DaemonPart> parts = List.of();
    private List<HttpListener> listeners = List.of();

    private Daemon(DaemonSettings settings) {
        this.settings = settings;
    }

    /**
     * Opens the data folder and the ports and starts serving.
     *
     * @param settings the validated settings
     * @return the running daemon, never null
     * @throws WaxwingheadException if the folder or a port can't be opened; all resources are closed then
     */
    static Daemon start(DaemonSettings settings) {
        Daemon daemon = new Daemon(settings);
        try {
            daemon.compose();
            return daemon;
        } catch (RuntimeException e) {
            daemon.closer.close();
            throw e;
        }
    }

    /**
     * Returns a future that completes with the exit status once the daemon has ended because of a failure or an
     * operator's drain.
     *
     * @return the future, never null
     */
    CompletableFuture<Integer> ended() {
        return ended.copy();
    }

    /**
     * Returns whether the daemon has ended.
     *
     * @return true once {@link #ended()} is complete
     */
    boolean hasEnded() {
        return ended.isDone();
    }

    /**
     * Stops accepting new work, finishes the work in flight within the drain timeout and closes the daemon. Concurrent
     * and later calls wait for the same drain.
     */
    void drain() {
        if (!leaving.compareAndSet(false, true)) {
            drained.join();
            return;
        }
        LOG.infof(
                "event=draining host=%s timeoutMillis=%d",
                settings.host(), settings.drainTimeout().toMillis());
        Deadline deadline = Deadline.after(settings.drainTimeout(), ticker);
        awaitPartDrains(deadline);
        listeners.forEach(listener -> listener.awaitResponses(deadline, ticker));
        close();
        LOG.infof("event=drained host=%s", settings.host());
        drained.complete(null);
    }

    private void compose() {
        DaemonExecutors executors = DaemonExecutors.create(settings.callerThreads(), closer);
        ConfigurationSection configuration = ConfigurationSection.create();
        UpstreamsPart upstreams = UpstreamsPart.create();
        SharesPart shares = SharesPart.create(upstreams);
        ClaimsPart claims = ClaimsPart.create();
        CallersPart callers = CallersPart.create(upstreams, shares, claims);
        TasksPart tasks = TasksPart.create();
        List<DaemonPart> working = List.of(upstreams, shares, claims, callers, tasks);

        TcpPeerNetwork network = openNetwork();
        ReplicaNode log = openLog(network, sections(configuration, working));
        network.setPeers(settings.peers());
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        closer.register(metrics::close);
        DaemonMeters.bind(metrics, log, network, configuration);

        HttpListener callerHttp = closer.register(HttpListener.open(settings.callerListen(), executors.callers()));
        HttpListener workerHttp = closer.register(HttpListener.open(settings.workerListen(), executors.workers()));
        PauseDetector pauses = closer.register(PauseDetector.start(ticker, executors.timer()));
        HttpListener operatorHttp = closer.register(
                HttpListener.open(settings.operatorListen(), executors.operators(), pauses::earliestArrivalNanos));
        DaemonContext context = new DaemonContext(
                settings,
                ticker,
                LogSharedState.of(log),
                configuration,
                network,
                callerHttp,
                workerHttp,
                operatorHttp,
                metrics,
                executors.timer(),
                executors.pool());
        Map<DrainKind, Drainer> drainers = Map.of(
                DrainKind.WORKER, (changeId, name) -> tasks.drainWorker(WorkerId.of(name)),
                DrainKind.UPSTREAM, (changeId, name) -> drainUpstream(upstreams, UpstreamId.of(name)),
                DrainKind.HOST, (changeId, name) -> drainAsync());
        OperatorPart operator =
                OperatorPart.create(configuration, log, working, drainers, tasks, metrics, () -> !leaving.get());
        List<DaemonPart> all = new ArrayList<>(working);
        all.add(operator);
        startParts(all, context);
        listeners = List.of(callerHttp, workerHttp, operatorHttp);
        listeners.forEach(HttpListener::start);
        LOG.infof(
                "event=ready host=%s dataCentre=%s callers=%s workers=%s operators=%s peers=%s",
                settings.host(),
                settings.dataCentre(),
                callerHttp.address(),
                workerHttp.address(),
                operatorHttp.address(),
                network.listenAddress());
    }

    private TcpPeerNetwork openNetwork() {
        TcpPeerSettings peerSettings =
                TcpPeerSettings.of(settings.cluster(), settings.host(), settings.dataCentre(), settings.peerListen());
        return closer.register(TcpPeerNetwork.open(peerSettings, ticker));
    }

    private ReplicaNode openLog(TcpPeerNetwork network, List<StateSection> sections) {
        ReplicaStorage storage = settings.dataFolder()
                .<ReplicaStorage>map(folder -> FileReplicaStorage.open(folder, settings.cluster()))
                .orElseGet(MemoryStorage::create);
        closer.register(storage);
        ReplicaSettings replicaSettings = ReplicaSettings.of(settings.host(), peerAddress(), settings.initialVoters());
        ReplicaNode log = closer.register(
                ReplicaNode.start(replicaSettings, SectionedStateMachine.of(sections), storage, network, ticker));
        log.failure().thenAccept(this::endOnFailure).exceptionally(failure -> null);
        return log;
    }

    private String peerAddress() {
        return settings.peers().stream()
                .filter(peer -> peer.host().equals(settings.host()))
                .map(peer -> peer.address().getAddress().getHostAddress() + ":"
                        + peer.address().getPort())
                .findFirst()
                .orElseThrow();
    }

    private static List<StateSection> sections(ConfigurationSection configuration, List<DaemonPart> parts) {
        List<StateSection> sections = new ArrayList<>();
        sections.add(configuration);
        parts.forEach(part -> sections.addAll(part.sections()));
        return sections;
    }

    private void startParts(List<DaemonPart> all, DaemonContext context) {
        for (DaemonPart part : all) {
            closer.register(part);
            part.start(context);
        }
        parts = List.copyOf(all);
    }

    private static CompletableFuture<Void> drainUpstream(UpstreamsPart upstreams, UpstreamId upstream) {
        upstreams.drainUpstream(upstream);
        return CompletableFuture.completedFuture(null);
    }

    /** Drains on a separate thread, so that the operator's request is answered before the listeners close. */
    private CompletableFuture<Void> drainAsync() {
        Thread thread = new Thread(
                () -> {
                    drain();
                    ended.complete(EXIT_DRAINED);
                },
                "drain");
        thread.start();
        return CompletableFuture.completedFuture(null);
    }

    private void awaitPartDrains(Deadline deadline) {
        CompletableFuture<?>[] drains =
                parts.stream().map(part -> part.drain(deadline)).toArray(CompletableFuture<?>[]::new);
        try {
            CompletableFuture.allOf(drains).get(deadline.remaining(ticker).toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            LOG.warnf("event=drain-cut-short host=%s", settings.host());
        } catch (ExecutionException e) {
            LOG.errorf(e, "event=drain-failed host=%s", settings.host());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endOnFailure(WaxwingheadException failure) {
        LOG.errorf("event=stopped kind=%s message=%s", failure.kind(), failure.getMessage());
        ended.complete(failure.kind().exitStatus());
    }

    private void close() {
        try {
            closer.close();
        } catch (WaxwingheadException e) {
            LOG.errorf(e, "event=close-failed host=%s", settings.host());
        }
    }
}
