package dev.waxwinghead.scheduling.routing;

import dev.waxwinghead.model.id.HostId;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds an entry host's leases on shares of one upstream's slots, granted by their owners, and counts the slots in use.
 *
 * <p>Not thread-safe. All times are nanoseconds of the host's monotonic clock.
 *
 * @since 0.1
 */
public final class ShareHolder {
    private final ShareTerms terms;
    private final Map<HostId, Lease> leases = new HashMap<>();
    private int inUse;

    private ShareHolder(ShareTerms terms) {
        this.terms = terms;
    }

    /**
     * Returns a holder without leases.
     *
     * @param terms the durations of leases
     * @return the holder, never null
     */
    public static ShareHolder create(ShareTerms terms) {
        return new ShareHolder(terms);
    }

    /**
     * Takes a slot into use if the leases allow it.
     *
     * @param now the current time
     * @return false if the limit is reached
     */
    public boolean tryStart(long now) {
        if (inUse >= limit(now)) {
            return false;
        }
        inUse++;
        return true;
    }

    /** Releases a slot taken with {@link #tryStart}. */
    public void ended() {
        inUse--;
    }

    /**
     * Returns the number of slots in use.
     *
     * @return the number of slots, 0 or more
     */
    public int inUse() {
        return inUse;
    }

    /**
     * Returns the number of slots that may be in use now.
     *
     * @param now the current time
     * @return the sum of the limits of all valid leases
     */
    public int limit(long now) {
        int sum = 0;
        for (Lease lease : leases.values()) {
            sum += lease.valid(now) ? lease.limit : 0;
        }
        return sum;
    }

    /**
     * Returns the number of slots that an owner's lease allows now.
     *
     * @param owner the owner
     * @param now the current time
     * @return the limit, 0 once the lease has expired
     */
    public int limitFrom(HostId owner, long now) {
        Lease lease = leases.get(owner);
        return lease != null && lease.valid(now) ? lease.limit : 0;
    }

    /**
     * Returns the number of slots in use that must be released at once, because the hold time of their lease has
     * expired.
     *
     * @param now the current time
     * @return the number of slots, 0 or more
     */
    public int excess(long now) {
        int covered = 0;
        for (Lease lease : leases.values()) {
            boolean holding = lease.granted && lease.until + terms.holdNanos() - now > 0;
            covered += holding ? lease.committed : 0;
        }
        return Math.max(0, inUse - covered);
    }

    /**
     * Prepares a request to an owner. Slots that the request does not keep must not be used any more, so the limit is
     * lowered to the kept slots at once.
     *
     * @param owner the owner
     * @param sequence a number that increases with each request to the owner
     * @param want the number of slots wanted from this owner
     * @param sameDataCentre whether this host is in the upstream's data centre
     * @param now the current time
     * @return the request, never null
     */
    public ShareRequest request(HostId owner, long sequence, int want, boolean sameDataCentre, long now) {
        Lease lease = leases.computeIfAbsent(owner, host -> new Lease());
        int limit = lease.valid(now) ? lease.limit : 0;
        int otherLimits = limit(now) - limit;
        int keep = Math.min(lease.committed, Math.max(Math.min(want, limit), inUse - otherLimits));
        lease.limit = Math.min(limit, keep);
        lease.committed = Math.max(0, keep);
        lease.sequence = sequence;
        return new ShareRequest(sequence, lease.committed, want, sameDataCentre);
    }

    /**
     * Applies an owner's answer. An answer to any but the latest request to the owner is ignored.
     *
     * @param owner the owner
     * @param sequence the sequence number of the request
     * @param limit the number of slots granted
     * @param sentAt when the request was sent
     */
    public void applyAnswer(HostId owner, long sequence, int limit, long sentAt) {
        Lease lease = leases.get(owner);
        if (lease == null || lease.sequence != sequence) {
            return;
        }
        lease.limit = limit;
        lease.committed = Math.max(lease.committed, limit);
        lease.until = sentAt + terms.leaseNanos();
        lease.granted = true;
    }

    /** Holds the slots that one owner has granted. */
    private static final class Lease {
        private int limit;
        private int committed;
        private long until;
        private long sequence;
        private boolean granted;

        private boolean valid(long now) {
            return granted && until - now > 0;
        }
    }
}
