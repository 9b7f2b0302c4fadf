package dev.waxwinghead.daemon.upstreams;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.ToIntFunction;

/**
 * Maintains the registry of upstreams: accepts announcements, exchanges them with peers and lists them for operators.
 */
public final class UpstreamsPart implements DaemonPart {
    private final Closer closer = Closer.create();
    private volatile UpstreamRegistry registry;
    private volatile UpstreamGossip gossip;
    private volatile Ticker ticker;
    private volatile ToIntFunction<UpstreamId> inFlight = upstream -> 0;

    private UpstreamsPart() {}

    /**
     * Creates the part without starting it.
     *
     * @return the part, never null
     */
    public static UpstreamsPart create() {
        return new UpstreamsPart();
    }

    /**
     * Returns the registry.
     *
     * @return the registry, null until the part has been started
     */
    public UpstreamRegistry registry() {
        return registry;
    }

    /**
     * Sets the source of the numbers of requests in flight that the list of upstreams shows.
     *
     * @param source returns the number of requests in flight from this host to an upstream
     */
    public void setInFlightSource(ToIntFunction<UpstreamId> source) {
        inFlight = source;
    }

    /**
     * Drains an upstream, so that no entry host sends it new requests.
     *
     * @param upstream the id of the upstream
     * @throws WaxwingheadException if the upstream is unknown
     */
    public void drainUpstream(UpstreamId upstream) {
        boolean known = registry.snapshot().stream()
                .anyMatch(entry -> entry.upstream().id().equals(upstream));
        if (!known) {
            throw WaxwingheadException.of(
                    ErrorKind.NOT_FOUND,
                    "upstream " + upstream + " is unknown",
                    "list the upstreams and give the id of one of them");
        }
        registry.leave(upstream);
        gossip.broadcastLeaving(upstream);
    }

    @Override
    public List<StateSection> sections() {
        return List.of();
    }

    @Override
    public void start(DaemonContext context) {
        ticker = context.ticker();
        registry = UpstreamRegistry.create(ticker);
        gossip = UpstreamGossip.create(
                registry, context.peers(), ticker, ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
        context.workerHttp().route("/upstream/v1/announce", this::announce);
        context.operatorHttp().route("/v1/upstreams", exchange -> JsonExchange.respond(exchange, 200, listUpstreams()));
        closer.register(PeriodicTask.startNow(
                context.timer(), UpstreamGossip.INTERVAL.toMillis(), "upstream-gossip", this::refresh));
        context.meters().gauge("waxwinghead.upstreams.serving", registry, UpstreamsPart::countServing);
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Map<String, Object> status() {
        return Map.of("known", registry.snapshot().size(), "serving", registry.countServing());
    }

    @Override
    public void close() {
        closer.close();
    }

    private void refresh() {
        registry.expire();
        gossip.requestAll();
    }

    private void announce(HttpExchange exchange) throws IOException {
        Announcement announcement = JsonExchange.read(exchange, Announcement.class);
        Upstream upstream = announcement.toUpstream();
        if (registry.announce(upstream, announcement.leaving())) {
            gossip.broadcastLeaving(upstream.id());
        }
        JsonExchange.respond(exchange, 200, Map.of("leaseMillis", UpstreamRegistry.LEASE.toMillis()));
    }

    private Map<String, Object> listUpstreams() {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (UpstreamEntry entry : registry.snapshot()) {
            Upstream upstream = entry.upstream();
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("upstream", upstream.id().value());
            row.put("service", upstream.service().value());
            row.put("address", upstream.authority());
            row.put("dataCentre", upstream.dataCentre().value());
            row.put("state", state(entry));
            row.put("inFlight", inFlight.applyAsInt(upstream.id()));
            rows.add(row);
        }
        return Map.of("upstreams", rows);
    }

    private String state(UpstreamEntry entry) {
        if (entry.leaving()) {
            return "leaving";
        }
        return entry.isServing(ticker) ? "serving" : "lost";
    }

    private static double countServing(UpstreamRegistry registry) {
        return registry.countServing();
    }
}
