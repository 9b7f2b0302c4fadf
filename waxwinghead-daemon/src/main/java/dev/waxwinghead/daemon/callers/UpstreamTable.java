package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.daemon.upstreams.UpstreamRegistry;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.routing.UpstreamChooser;
import dev.waxwinghead.scheduling.routing.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the load of each upstream as this entry host sees it, and reserves slots on them.
 *
 * <p>One lock guards it; the registry's lock is taken inside it, never the other way round.
 */
final class UpstreamTable {
    private final UpstreamRegistry registry;
    private final SlotLimits limits;
    private final UpstreamChooser chooser;
    private final Ticker ticker;
    private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();

    private UpstreamTable(UpstreamRegistry registry, SlotLimits limits, UpstreamChooser chooser, Ticker ticker) {
        this.registry = registry;
        this.limits = limits;
        this.chooser = chooser;
        this.ticker = ticker;
    }

    static UpstreamTable create(UpstreamRegistry registry, SlotLimits limits, UpstreamChooser chooser, Ticker ticker) {
        return new UpstreamTable(registry, limits, chooser, ticker);
    }

    /** Reserves a slot of the best upstream, of an untried one if there is any; empty if none has a free one. */
    synchronized Optional<Reservation> reserve(CallRequest request, Set<UpstreamId> tried) {
        long now = ticker.nanos();
        Map<UpstreamId, Upstream> byId = new HashMap<>();
        List<UpstreamLoad> all = new ArrayList<>();
        List<UpstreamLoad> untried = new ArrayList<>();
        for (Upstream upstream : registry.serving(request.service())) {
            UpstreamLoad load = load(upstream);
            load.limitTo(limits.slots(upstream));
            byId.put(upstream.id(), upstream);
            all.add(load);
            if (!tried.contains(upstream.id())) {
                untried.add(load);
            }
        }
        return chooser.choose(untried.isEmpty() ? all : untried, now)
                .map(load -> start(byId.get(load.upstream()), load, now));
    }

    /** Returns the slots of a service over all upstreams, and how long one request holds one. */
    synchronized Throughput throughput(ServiceName service) {
        long now = ticker.nanos();
        int slots = 0;
        double latency = 0;
        int upstreams = 0;
        for (Upstream upstream : registry.serving(service)) {
            UpstreamLoad load = load(upstream);
            if (!load.ejected(now)) {
                slots += limits.slots(upstream);
                latency += load.latencyNanos(now);
                upstreams++;
            }
        }
        return new Throughput(upstreams, slots, upstreams == 0 ? 0 : (long) (latency / upstreams));
    }

    synchronized int inFlight(UpstreamId upstream) {
        UpstreamLoad load = loads.get(upstream);
        return load == null ? 0 : load.inFlight();
    }

    /** Forgets upstreams that are gone and idle. */
    synchronized Set<UpstreamId> retainLive() {
        loads.values().removeIf(load -> load.inFlight() == 0 && !registry.isServing(load.upstream()));
        return new HashSet<>(loads.keySet());
    }

    private Reservation start(Upstream upstream, UpstreamLoad load, long now) {
        load.started(now);
        return new Reservation(this, upstream, load, now);
    }

    private UpstreamLoad load(Upstream upstream) {
        return loads.computeIfAbsent(
                upstream.id(), id -> UpstreamLoad.create(id, upstream.dataCentre(), upstream.slots()));
    }

    /**
     * Tells what the upstreams of a service can do.
     *
     * @param upstreams how many take requests
     * @param slots the slots that this host may use on them
     * @param serviceNanos how long a request holds a slot, in nanoseconds
     */
    record Throughput(int upstreams, int slots, long serviceNanos) {
        /** Returns how long it takes until a number of requests before a new one have been served, in nanoseconds. */
        long waitNanos(int ahead) {
            return slots == 0 ? 0 : (ahead + 1L) * serviceNanos / slots;
        }
    }

    /** A slot in use. It is released once; later calls do nothing. */
    static final class Reservation {
        private final UpstreamTable table;
        private final Upstream upstream;
        private final UpstreamLoad load;
        private final long startedAt;
        private boolean released;

        private Reservation(UpstreamTable table, Upstream upstream, UpstreamLoad load, long startedAt) {
            this.table = table;
            this.upstream = upstream;
            this.load = load;
            this.startedAt = startedAt;
        }

        Upstream upstream() {
            return upstream;
        }

        void answered() {
            release(() -> load.answered(elapsed(), table.ticker.nanos()));
        }

        void failed() {
            release(() -> load.failed(elapsed(), table.ticker.nanos()));
        }

        void abandoned() {
            release(load::abandoned);
        }

        private long elapsed() {
            return table.ticker.nanos() - startedAt;
        }

        private void release(Runnable ending) {
            synchronized (table) {
                if (!released) {
                    released = true;
                    ending.run();
                }
            }
        }
    }
}
