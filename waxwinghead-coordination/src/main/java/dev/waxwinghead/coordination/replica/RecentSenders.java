package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.Membership;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers which hosts have sent consensus messages lately. Safe for use by several threads. */
final class RecentSenders {
    /** Spans several heartbeats and elections. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(5).toNanos();

    private final Ticker ticker;
    private final Map<HostId, Long> expiryByHost = new ConcurrentHashMap<>();

    RecentSenders(Ticker ticker) {
        this.ticker = ticker;
    }

    void record(HostId host) {
        if (expiryByHost.containsKey(host) || expiryByHost.size() < Membership.MAX_MEMBERS) {
            expiryByHost.put(host, ticker.nanos() + RETENTION_NANOS);
        }
    }

    List<HostId> hosts() {
        long now = ticker.nanos();
        expiryByHost.values().removeIf(expiry -> now - expiry >= 0);
        return List.copyOf(expiryByHost.keySet());
    }
}
