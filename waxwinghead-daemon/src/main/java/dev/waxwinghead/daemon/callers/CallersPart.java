package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.claims.ClaimsPart;
import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.daemon.part.PeriodicTask;
import dev.waxwinghead.daemon.shares.SharesPart;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.daemon.upstreams.UpstreamsPart;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.manifest.TenantManifest;
import dev.waxwinghead.model.manifest.TrafficClassManifest;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.limits.RequestLimits;
import dev.waxwinghead.scheduling.retry.RetryBudget;
import dev.waxwinghead.scheduling.retry.RetryPolicy;
import dev.waxwinghead.scheduling.routing.UpstreamChooser;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Serves callers: wires the classes of the callers' interface together and registers its routes. */
public final class CallersPart implements DaemonPart {
    private static final int SEND_THREADS = 32;
    private static final long QUEUE_INTERVAL_MILLIS = 20;
    private static final long CLEANUP_INTERVAL_MILLIS = 1_000;
    private static final double RESENDS_PER_SUCCESS = 0.1;
    private static final int RESEND_RESERVE = 10;

    private final UpstreamsPart upstreams;
    private final ClaimsPart claims;
    private final SharesPart shares;
    private final Closer closer = Closer.create();
    private volatile CallerHandler handler;
    private volatile CallDispatcher dispatcher;

    private CallersPart(UpstreamsPart upstreams, SharesPart shares, ClaimsPart claims) {
        this.upstreams = upstreams;
        this.shares = shares;
        this.claims = claims;
    }

    /**
     * Creates the part without starting it.
     *
     * @param upstreams the part that holds the registry of upstreams, to be started before this part
     * @param shares the part that shares slots between hosts, to be started before this part
     * @param claims the part that holds the claims of keyed requests, to be started before this part
     * @return the part, never null
     */
    public static CallersPart create(UpstreamsPart upstreams, SharesPart shares, ClaimsPart claims) {
        return new CallersPart(upstreams, shares, claims);
    }

    @Override
    public List<StateSection> sections() {
        return List.of();
    }

    @Override
    public void start(DaemonContext context) {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(SEND_THREADS, SEND_THREADS, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>());
        executor.allowCoreThreadTimeOut(true);
        closer.register(executor::shutdownNow);
        RequestLimits limits = RequestLimits.create();
        configureLimits(limits, context.configuration().current());
        context.configuration().onChange(configuration -> configureLimits(limits, configuration));
        UpstreamClients clients = UpstreamClients.create(context.ticker(), executor);
        UpstreamTable table = UpstreamTable.create(
                upstreams.registry(),
                shares,
                UpstreamChooser.create(context.dataCentre(), new SplittableRandom()),
                context.ticker());
        upstreams.setInFlightSource(table::inFlight);
        CallerMeters meters = CallerMeters.create(context.meters(), limits);
        RetryBudget budget = RetryBudget.create(RESENDS_PER_SUCCESS, RESEND_RESERVE);
        handler = CallerHandler.create(context.ticker(), limits, meters, budget);
        dispatcher = CallDispatcher.create(
                upstreams.registry(),
                table,
                UpstreamSender.create(clients, context.ticker(), context.timer()),
                limits,
                RetryPolicy.create(budget),
                Hedging.create(limits, budget, context.timer(), executor),
                context.ticker(),
                meters,
                handler);
        handler.setDispatchers(dispatcher, KeyedCalls.create(claims.store(), context.ticker(), executor, handler));
        upstreams.registry().onChange(() -> context.pool().execute(dispatcher::drainQueues));
        shares.onIncrease(() -> context.pool().execute(dispatcher::drainQueues));
        route(context);
        schedule(
                context,
                QUEUE_INTERVAL_MILLIS,
                "caller-queues",
                () -> context.pool().execute(this::processQueues));
        schedule(context, CLEANUP_INTERVAL_MILLIS, "caller-cleanup", () -> {
            clients.retain(table.retainLive());
            context.pool().execute(handler::endStalledFeeds);
            context.pool().execute(table::cancelExcess);
        });
        context.meters().gauge("waxwinghead.upstream.generations.replaced", clients, UpstreamClients::replacedCount);
        context.meters().gauge("waxwinghead.caller.waiting", dispatcher, CallDispatcher::waiting);
        context.meters().gauge("waxwinghead.caller.inflight", handler, CallerHandler::inFlight);
    }

    @Override
    public CompletableFuture<Void> drain(Deadline deadline) {
        return handler.drain(deadline);
    }

    @Override
    public Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("inFlight", handler.inFlight());
        status.put("waiting", dispatcher.waiting());
        status.put("leaving", handler.leaving());
        return status;
    }

    @Override
    public void close() {
        closer.close();
    }

    private void route(DaemonContext context) {
        context.callerHttp().route(CallRequest.PREFIX, handler);
        context.callerHttp()
                .route("/healthz", exchange -> JsonExchange.respond(exchange, 200, Map.of("healthy", true)));
        context.callerHttp().route("/readyz", this::respondReady);
    }

    private void respondReady(HttpExchange exchange) {
        boolean ready = !handler.leaving();
        JsonExchange.respond(exchange, ready ? 200 : 503, Map.of("ready", ready));
    }

    private void processQueues() {
        dispatcher.refuseLate();
        dispatcher.drainQueues();
    }

    private void schedule(DaemonContext context, long millis, String name, Runnable action) {
        closer.register(PeriodicTask.start(context.timer(), millis, name, action));
    }

    private static void configureLimits(RequestLimits limits, Configuration configuration) {
        limits.configure(
                configuration.all(TenantManifest.class).toList(),
                configuration.all(TrafficClassManifest.class).toList());
    }
}
