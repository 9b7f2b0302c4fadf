package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Holds the upstreams known to this entry host, each under a lease.
 *
 * <p>A lease is a deadline on this host's monotonic clock. Leaving is final, since a restarted upstream uses a new id.
 * Safe for use by several threads: the monitor of this object guards all state, and listeners are called without
 * holding it.
 */
public final class UpstreamRegistry {
    /** The duration for which an announcement is valid. */
    public static final Duration LEASE = Duration.ofMillis(2_500);

    private static final Duration RETENTION_AFTER_LEASE = Duration.ofMinutes(1);

    private final Ticker ticker;
    private final Map<ServiceName, Map<UpstreamId, UpstreamEntry>> services = new HashMap<>();
    private final Map<UpstreamId, UpstreamEntry> entries = new HashMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long version;

    private UpstreamRegistry(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Returns an empty registry.
     *
     * @param ticker the monotonic clock
     * @return the registry, never null
     */
    public static UpstreamRegistry create(Ticker ticker) {
        return new UpstreamRegistry(ticker);
    }

    /**
     * Registers a listener that is called after an upstream has become available, has started to leave, or its lease
     * has ended.
     *
     * @param listener the listener; must not block
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Records an announcement made to this host.
     *
     * @param upstream the announced upstream
     * @param leaving whether the upstream announces that it is leaving
     * @return true if the upstream is leaving and was not before
     */
    boolean announce(Upstream upstream, boolean leaving) {
        boolean changed;
        boolean newlyLeaving;
        synchronized (this) {
            UpstreamEntry entry = entry(upstream);
            Deadline lease = Deadline.after(LEASE, ticker);
            changed = !entry.isServing(ticker);
            newlyLeaving = leaving && !entry.leaving();
            if (!entry.isAnnouncedLocally(ticker)) {
                entry.markLocal(++version);
            }
            entry.renewLease(lease);
            entry.renewLocalLease(lease);
            if (newlyLeaving) {
                markLeaving(entry);
            }
        }
        if (changed || newlyLeaving) {
            notifyListeners();
        }
        return newlyLeaving;
    }

    /**
     * Merges an entry received from a peer to which the upstream is announced.
     *
     * @param upstream the upstream
     * @param leaving whether the upstream is leaving
     * @param lease the peer's lease as a deadline on this host's clock
     */
    void merge(Upstream upstream, boolean leaving, Deadline lease) {
        boolean changed;
        synchronized (this) {
            UpstreamEntry entry = entry(upstream);
            boolean before = entry.isServing(ticker);
            entry.renewLease(lease);
            if (leaving) {
                markLeaving(entry);
            }
            changed = before != entry.isServing(ticker);
        }
        if (changed) {
            notifyListeners();
        }
    }

    /**
     * Marks an upstream as leaving, so that no new request is sent to it.
     *
     * @param id the id of the upstream
     * @return true if the upstream was known and not leaving before
     */
    boolean leave(UpstreamId id) {
        synchronized (this) {
            UpstreamEntry entry = entries.get(id);
            if (entry == null || entry.leaving()) {
                return false;
            }
            markLeaving(entry);
        }
        notifyListeners();
        return true;
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param service the service
     * @return the upstreams, empty if there are none, never null
     */
    public synchronized List<Upstream> serving(ServiceName service) {
        Map<UpstreamId, UpstreamEntry> known = services.get(service);
        if (known == null) {
            return List.of();
        }
        List<Upstream> serving = new ArrayList<>(known.size());
        for (UpstreamEntry entry : known.values()) {
            if (entry.isServing(ticker)) {
                serving.add(entry.upstream());
            }
        }
        return serving;
    }

    /**
     * Returns whether an upstream accepts new requests.
     *
     * @param id the id of the upstream
     * @return true if the lease of the upstream is running and the upstream is not leaving
     */
    public synchronized boolean isServing(UpstreamId id) {
        UpstreamEntry entry = entries.get(id);
        return entry != null && entry.isServing(ticker);
    }

    /**
     * Returns whether the registry holds any upstream of a service, including those that are leaving or whose lease
     * ended within the retention period.
     *
     * @param service the service
     * @return true if the registry holds an upstream of the service
     */
    public synchronized boolean isKnown(ServiceName service) {
        return services.containsKey(service);
    }

    /**
     * Returns all upstreams in the registry, including those that are leaving or whose lease ended within the retention
     * period.
     *
     * @return the upstreams by id, never null
     */
    public synchronized Map<UpstreamId, Upstream> upstreamsById() {
        Map<UpstreamId, Upstream> known = new HashMap<>();
        entries.forEach((id, entry) -> known.put(id, entry.upstream()));
        return known;
    }

    /** Notifies the listeners of ended leases and removes upstreams whose retention period is over. */
    void expire() {
        boolean ended = false;
        synchronized (this) {
            Iterator<UpstreamEntry> all = entries.values().iterator();
            while (all.hasNext()) {
                UpstreamEntry entry = all.next();
                ended |= entry.detectLeaseEnd(ticker);
                if (entry.leaseEndedBefore(ticker.nanos() - RETENTION_AFTER_LEASE.toNanos())) {
                    all.remove();
                    removeFromService(entry.upstream());
                }
            }
        }
        if (ended) {
            notifyListeners();
        }
    }

    synchronized Collection<UpstreamEntry> snapshot() {
        return List.copyOf(entries.values());
    }

    synchronized long countServing() {
        return entries.values().stream()
                .filter(entry -> entry.isServing(ticker))
                .count();
    }

    synchronized long version() {
        return version;
    }

    private UpstreamEntry entry(Upstream upstream) {
        UpstreamEntry known = entries.get(upstream.id());
        if (known != null) {
            return known;
        }
        UpstreamEntry created = UpstreamEntry.create(upstream, ++version, ticker.nanos());
        entries.put(upstream.id(), created);
        services.computeIfAbsent(upstream.service(), name -> new HashMap<>()).put(upstream.id(), created);
        return created;
    }

    private void markLeaving(UpstreamEntry entry) {
        entry.markLeaving(++version);
    }

    private void removeFromService(Upstream upstream) {
        Map<UpstreamId, UpstreamEntry> known = services.get(upstream.service());
        known.remove(upstream.id());
        if (known.isEmpty()) {
            services.remove(upstream.service());
        }
    }

    private void notifyListeners() {
        listeners.forEach(Runnable::run);
    }
}
