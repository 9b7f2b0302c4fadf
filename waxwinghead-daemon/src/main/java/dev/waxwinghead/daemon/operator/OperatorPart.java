package dev.waxwinghead.daemon.operator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.coordination.log.ReplicatedLog;
import dev.waxwinghead.daemon.configuration.ConfigurationSection;
import dev.waxwinghead.daemon.configuration.ConfigurationService;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Serves the operators' interface: the configuration, the host's status, drains, members and metrics. */
public final class OperatorPart implements DaemonPart {
    private final ConfigurationSection configuration;
    private final ReplicatedLog log;
    private final List<DaemonPart> parts;
    private final Map<DrainKind, Drainer> drainers;
    private final DataCentreDrains dataCentres;
    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier ready;
    private final Closer closer = Closer.create();

    private OperatorPart(
            ConfigurationSection configuration,
            ReplicatedLog log,
            List<DaemonPart> parts,
            Map<DrainKind, Drainer> drainers,
            DataCentreDrains dataCentres,
            PrometheusMeterRegistry metrics,
            BooleanSupplier ready) {
        this.configuration = configuration;
        this.log = log;
        this.parts = parts;
        this.drainers = drainers;
        this.dataCentres = dataCentres;
        this.metrics = metrics;
        this.ready = ready;
    }

    /**
     * Creates the part without starting it.
     *
     * @param configuration the section that holds the configuration, already applied by the log
     * @param log the replicated log
     * @param parts the other parts, whose status is reported
     * @param drainers the drainers by the kind of target
     * @param dataCentres drains data centres
     * @param metrics the registry whose metrics are exposed
     * @param ready returns whether this host accepts new requests
     * @return the part, never null
     */
    public static OperatorPart create(
            ConfigurationSection configuration,
            ReplicatedLog log,
            List<DaemonPart> parts,
            Map<DrainKind, Drainer> drainers,
            DataCentreDrains dataCentres,
            PrometheusMeterRegistry metrics,
            BooleanSupplier ready) {
        return new OperatorPart(configuration, log, parts, drainers, dataCentres, metrics, ready);
    }

    @Override
    public List<StateSection> sections() {
        return List.of();
    }

    @Override
    public void start(DaemonContext context) {
        RevisionGossip gossip = new RevisionGossip(context.peers(), configuration);
        gossip.start();
        closer.register(PeriodicTask.start(
                context.timer(), RevisionGossip.INTERVAL_MILLIS, "revision-gossip", gossip::broadcast));
        HttpHandler resources = new ResourcesHandler(context.sharedState(), configuration, context.ticker());
        ConfigurationService service = ConfigurationService.of(context.sharedState());
        context.operatorHttp().route("/v1/changes", new ChangesHandler(service, context.ticker()));
        context.operatorHttp().route(ResourcesHandler.ALL_PREFIX, resources);
        context.operatorHttp().route(ResourcesHandler.KIND_PREFIX, resources);
        context.operatorHttp().route("/v1/status", new StatusHandler(context, gossip, parts));
        context.operatorHttp()
                .route(
                        "/v1/drain",
                        new DrainHandler(drainers, dataCentres, context.self().value()));
        context.operatorHttp().route("/v1/undrain", new UndrainHandler(dataCentres));
        context.operatorHttp().route("/v1/members/remove", new MembersHandler(log, context.ticker()));
        context.operatorHttp().route("/metrics", exchange -> respondText(exchange, 200, metrics.scrape()));
        context.operatorHttp().route("/healthz", exchange -> respondText(exchange, 200, "ok\n"));
        context.operatorHttp().route("/readyz", this::respondReady);
    }

    private void respondReady(HttpExchange exchange) throws IOException {
        if (ready.getAsBoolean()) {
            respondText(exchange, 200, "ready\n");
        } else {
            respondText(exchange, 503, "leaving\n");
        }
    }

    private static void respondText(HttpExchange exchange, int status, String text) throws IOException {
        try (exchange) {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "text/plain; charset=utf-8");
            exchange.sendResponseHeaders(status, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Map<String, Object> status() {
        return Map.of();
    }

    @Override
    public void close() {
        closer.close();
    }
}
