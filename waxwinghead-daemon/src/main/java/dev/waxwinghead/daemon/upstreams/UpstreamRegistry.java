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
 * Holds the upstreams that are known on this entry host, each under a lease.
 *
 * <p>A lease is a deadline on this host's monotonic clock. Leaving is final: the id names one life of the upstream.
 * Safe for use by several threads; one lock guards all, and listeners are called without it.
 */
public final class UpstreamRegistry {
    /** How long an announcement holds. */
    public static final Duration LEASE = Duration.ofMillis(2_500);

    private static final Duration KEPT_AFTER_LEASE = Duration.ofMinutes(1);

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
     * Calls the listener after an upstream came, left or ran out of its lease.
     *
     * @param listener must not block
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Takes in an announcement made to this host.
     *
     * @param upstream the upstream
     * @param leaving whether it says that it leaves
     * @return true if it leaves now and did not before
     */
    boolean announce(Upstream upstream, boolean leaving) {
        boolean changed;
        boolean newlyLeaving;
        synchronized (this) {
            UpstreamEntry entry = entry(upstream);
            Deadline lease = Deadline.after(LEASE, ticker);
            changed = !entry.serving(ticker);
            newlyLeaving = leaving && !entry.leaving();
            if (!entry.announcedHere(ticker)) {
                entry.becomeLocal(++version);
            }
            entry.extend(lease);
            entry.extendLocal(lease);
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
     * Takes in what a peer told about an upstream that is announced there.
     *
     * @param upstream the upstream
     * @param leaving whether it leaves
     * @param lease the peer's lease as a deadline of this host
     */
    void merge(Upstream upstream, boolean leaving, Deadline lease) {
        boolean changed;
        synchronized (this) {
            UpstreamEntry entry = entry(upstream);
            boolean before = entry.serving(ticker);
            entry.extend(lease);
            if (leaving) {
                markLeaving(entry);
            }
            changed = before != entry.serving(ticker);
        }
        if (changed) {
            notifyListeners();
        }
    }

    /**
     * Marks an upstream as leaving: nothing new is sent to it.
     *
     * @param id the upstream
     * @return true if it was known and had not been leaving
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
     * Returns the upstreams of a service that take new requests now.
     *
     * @param service the service
     * @return the upstreams, empty if there are none
     */
    public synchronized List<Upstream> serving(ServiceName service) {
        Map<UpstreamId, UpstreamEntry> known = services.get(service);
        if (known == null) {
            return List.of();
        }
        List<Upstream> serving = new ArrayList<>(known.size());
        for (UpstreamEntry entry : known.values()) {
            if (entry.serving(ticker)) {
                serving.add(entry.upstream());
            }
        }
        return serving;
    }

    /**
     * Tells whether an upstream takes new requests now.
     *
     * @param id the upstream
     * @return true while its lease runs and it is not leaving
     */
    public synchronized boolean isServing(UpstreamId id) {
        UpstreamEntry entry = entries.get(id);
        return entry != null && entry.serving(ticker);
    }

    /**
     * Tells whether any upstream of the service was known lately.
     *
     * @param service the service
     * @return true if one is or was known
     */
    public synchronized boolean knows(ServiceName service) {
        return services.containsKey(service);
    }

    /**
     * Returns all upstreams that are or were lately known, those that leave or are lost among them.
     *
     * @return the upstreams by id
     */
    public synchronized Map<UpstreamId, Upstream> known() {
        Map<UpstreamId, Upstream> known = new HashMap<>();
        entries.forEach((id, entry) -> known.put(id, entry.upstream()));
        return known;
    }

    /** Forgets upstreams whose lease ran out long ago. */
    void expire() {
        boolean ended = false;
        synchronized (this) {
            Iterator<UpstreamEntry> all = entries.values().iterator();
            while (all.hasNext()) {
                UpstreamEntry entry = all.next();
                ended |= entry.noticeEnd(ticker);
                if (entry.endedBefore(ticker.nanos() - KEPT_AFTER_LEASE.toNanos())) {
                    all.remove();
                    forget(entry.upstream());
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
        return entries.values().stream().filter(entry -> entry.serving(ticker)).count();
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
        entry.leave(++version);
    }

    private void forget(Upstream upstream) {
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
