package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.shares.Resource;
import dev.waxwinghead.daemon.shares.SharesPart;
import dev.waxwinghead.daemon.upstreams.Upstream;
import dev.waxwinghead.daemon.upstreams.UpstreamRegistry;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.routing.UpstreamChooser;
import dev.waxwinghead.scheduling.routing.UpstreamLoad;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the load of each upstream as this entry host sees it, and reserves slots on them.
 *
 * <p>One lock guards it; those of the registry and of the shares are taken inside it, never the other way round.
 */
final class UpstreamTable {
    private final UpstreamRegistry registry;
    private final SharesPart shares;
    private final UpstreamChooser chooser;
    private final Ticker ticker;
    private final Set<Reservation> active = new LinkedHashSet<>();
    private final Map<Resource, Map<UpstreamId, UpstreamLoad>> loads = new EnumMap<>(Resource.class);

    private UpstreamTable(UpstreamRegistry registry, SharesPart shares, UpstreamChooser chooser, Ticker ticker) {
        this.registry = registry;
        this.shares = shares;
        this.chooser = chooser;
        this.ticker = ticker;
        for (Resource resource : Resource.values()) {
            loads.put(resource, new HashMap<>());
        }
    }

    static UpstreamTable create(UpstreamRegistry registry, SharesPart shares, UpstreamChooser chooser, Ticker ticker) {
        return new UpstreamTable(registry, shares, chooser, ticker);
    }

    /**
     * Reserves a slot of the best upstream, of an untried one if there is any. Empty if none has a free one; then more
     * slots are asked for, for the given number of calls that wait.
     */
    synchronized Optional<Reservation> reserve(CallRequest request, Set<UpstreamId> tried, int waiting) {
        long now = ticker.nanos();
        Resource resource = QueueKey.of(request).resource();
        List<Upstream> serving = registry.serving(request.service());
        Map<UpstreamId, Upstream> byId = new HashMap<>();
        List<UpstreamLoad> all = new ArrayList<>(serving.size());
        List<UpstreamLoad> untried = new ArrayList<>(serving.size());
        for (Upstream upstream : serving) {
            UpstreamLoad load = load(upstream, resource);
            load.limitTo(shares.limit(upstream, resource));
            byId.put(upstream.id(), upstream);
            all.add(load);
            if (!tried.contains(upstream.id())) {
                untried.add(load);
            }
        }
        Optional<Reservation> reservation = chooser.choose(untried.isEmpty() ? all : untried, now)
                .flatMap(load -> start(byId.get(load.upstream()), resource, load, now));
        if (reservation.isEmpty()) {
            shares.wanted(serving, resource, waiting);
        }
        return reservation;
    }

    /** Returns what the upstreams of a service have for this host, and how long one request holds a slot. */
    synchronized Throughput throughput(QueueKey key) {
        long now = ticker.nanos();
        int slots = 0;
        double latency = 0;
        int timed = 0;
        int upstreams = 0;
        for (Upstream upstream : registry.serving(key.service())) {
            UpstreamLoad load = load(upstream, key.resource());
            slots += load.ejected(now) ? 0 : shares.limit(upstream, key.resource());
            latency += load.meanNanos();
            timed += load.meanNanos() > 0 ? 1 : 0;
            upstreams++;
        }
        boolean known = timed > 0 && key.resource() == Resource.SLOTS;
        return new Throughput(upstreams, slots, known ? (long) (latency / timed) : 0);
    }

    synchronized int inFlight(UpstreamId upstream) {
        return loads.values().stream()
                .map(byId -> byId.get(upstream))
                .filter(Objects::nonNull)
                .mapToInt(UpstreamLoad::inFlight)
                .sum();
    }

    /** Breaks off what runs without a share, since its lease ended long ago. */
    void cancelExcess() {
        List<Reservation> excess = new ArrayList<>();
        synchronized (this) {
            Map<UpstreamLoad, Integer> counts = new HashMap<>();
            for (Reservation reservation : active) {
                int before = counts.merge(reservation.load, 1, Integer::sum) - 1;
                if (before < shares.excess(reservation.upstream, reservation.resource)) {
                    excess.add(reservation);
                }
            }
        }
        excess.forEach(Reservation::cancel);
    }

    /** Forgets upstreams that are gone and idle. */
    synchronized Set<UpstreamId> retainLive() {
        Set<UpstreamId> live = new HashSet<>();
        for (Map<UpstreamId, UpstreamLoad> byId : loads.values()) {
            byId.values().removeIf(load -> load.inFlight() == 0 && !registry.isServing(load.upstream()));
            live.addAll(byId.keySet());
        }
        return live;
    }

    private Optional<Reservation> start(Upstream upstream, Resource resource, UpstreamLoad load, long now) {
        if (!shares.tryStart(upstream, resource)) {
            return Optional.empty();
        }
        load.started(now);
        Reservation reservation = new Reservation(this, upstream, resource, load, now);
        active.add(reservation);
        return Optional.of(reservation);
    }

    private UpstreamLoad load(Upstream upstream, Resource resource) {
        return loads.get(resource)
                .computeIfAbsent(upstream.id(), id -> UpstreamLoad.create(id, upstream.dataCentre(), 0));
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
        private final Resource resource;
        private final UpstreamLoad load;
        private final long startedAt;
        private volatile Runnable canceller = () -> {};
        private boolean released;

        private Reservation(
                UpstreamTable table, Upstream upstream, Resource resource, UpstreamLoad load, long startedAt) {
            this.table = table;
            this.upstream = upstream;
            this.resource = resource;
            this.load = load;
            this.startedAt = startedAt;
        }

        Upstream upstream() {
            return upstream;
        }

        /** Sets how the request on this slot is broken off. */
        void cancelWith(Runnable given) {
            canceller = given;
        }

        /** Breaks off the request on this slot. */
        void cancel() {
            canceller.run();
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

        long elapsed() {
            return table.ticker.nanos() - startedAt;
        }

        private void release(Runnable ending) {
            synchronized (table) {
                if (!released) {
                    released = true;
                    table.active.remove(this);
                    ending.run();
                    table.shares.ended(upstream, resource);
                }
            }
        }
    }
}
