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
 * Tracks the load that this entry host puts on each upstream and reserves slots of the upstreams.
 *
 * <p>Guarded by the monitor of this object; the locks of the registry and of the shares are acquired while holding it,
 * never the other way round.
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
     * Reserves a slot of the best upstream, preferring upstreams that have not been tried. If none has a free slot, the
     * result is empty and further slots are requested from their owners.
     *
     * @param tried the upstreams that have already received the request
     * @param waiting the number of calls that wait for a slot
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
                .flatMap(load -> tryReserve(byId.get(load.upstream()), resource, load, now));
        if (reservation.isEmpty()) {
            shares.requestMore(serving, resource, waiting);
        }
        return reservation;
    }

    /** Returns the capacity that the upstreams of a service offer to this host. */
    synchronized ServiceCapacity capacity(QueueKey key) {
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
        return new ServiceCapacity(upstreams, slots, known ? (long) (latency / timed) : 0);
    }

    synchronized int inFlight(UpstreamId upstream) {
        return loads.values().stream()
                .map(byId -> byId.get(upstream))
                .filter(Objects::nonNull)
                .mapToInt(UpstreamLoad::inFlight)
                .sum();
    }

    /** Cancels the requests that run on slots whose lease ended long ago. */
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

    /** Removes the idle upstreams that are no longer serving and returns the remaining ones. */
    synchronized Set<UpstreamId> retainLive() {
        Set<UpstreamId> live = new HashSet<>();
        for (Map<UpstreamId, UpstreamLoad> byId : loads.values()) {
            byId.values().removeIf(load -> load.inFlight() == 0 && !registry.isServing(load.upstream()));
            live.addAll(byId.keySet());
        }
        return live;
    }

    private Optional<Reservation> tryReserve(Upstream upstream, Resource resource, UpstreamLoad load, long now) {
        if (!shares.tryAcquire(upstream, resource)) {
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
     * Describes the capacity of a service for this host.
     *
     * @param upstreams the number of upstreams that accept requests
     * @param slots the number of slots that this host may use on these upstreams
     * @param serviceTimeNanos the mean time for which a request occupies a slot, in nanoseconds; 0 if unknown
     */
    record ServiceCapacity(int upstreams, int slots, long serviceTimeNanos) {
        /** Returns the expected waiting time of a request with the given number of requests ahead, in nanoseconds. */
        long waitNanos(int ahead) {
            return slots == 0 ? 0 : (ahead + 1L) * serviceTimeNanos / slots;
        }
    }

    /** Represents a slot in use. The first call to a releasing method releases the slot; later calls have no effect. */
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

        /** Sets the action that cancels the request on this slot. */
        void setCanceller(Runnable newCanceller) {
            canceller = newCanceller;
        }

        /** Cancels the request on this slot. */
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

        private void release(Runnable loadUpdate) {
            synchronized (table) {
                if (!released) {
                    released = true;
                    table.active.remove(this);
                    loadUpdate.run();
                    table.shares.release(upstream, resource);
                }
            }
        }
    }
}
