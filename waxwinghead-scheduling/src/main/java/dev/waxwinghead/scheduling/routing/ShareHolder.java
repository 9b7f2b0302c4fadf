package dev.waxwinghead.scheduling.routing;

import dev.waxwinghead.model.id.HostId;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the shares of one upstream's slots that an entry host has been lent by their owners, and what it has in use.
 *
 * <p>Not safe for use by several threads. All times are nanoseconds of the host's monotonic clock.
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
     * Returns a holder without shares.
     *
     * @param terms the times
     * @return the holder, never null
     */
    public static ShareHolder create(ShareTerms terms) {
        return new ShareHolder(terms);
    }

    /**
     * Takes a slot into use if the shares allow it.
     *
     * @param now the time
     * @return false if they don't
     */
    public boolean tryStart(long now) {
        if (inUse >= limit(now)) {
            return false;
        }
        inUse++;
        return true;
    }

    /** Gives a slot back. */
    public void ended() {
        inUse--;
    }

    /**
     * Returns the slots in use.
     *
     * @return the number, 0 or more
     */
    public int inUse() {
        return inUse;
    }

    /**
     * Returns how many slots may be in use now.
     *
     * @param now the time
     * @return the sum of the limits whose leases run
     */
    public int limit(long now) {
        int sum = 0;
        for (Lease lease : leases.values()) {
            sum += lease.valid(now) ? lease.limit : 0;
        }
        return sum;
    }

    /**
     * Returns how many slots one owner's lease gives now.
     *
     * @param owner the owner
     * @param now the time
     * @return the limit, 0 once the lease is over
     */
    public int limitFrom(HostId owner, long now) {
        Lease lease = leases.get(owner);
        return lease != null && lease.valid(now) ? lease.limit : 0;
    }

    /**
     * Returns how many of the slots in use must be given up at once, since the hold time of their lease is over.
     *
     * @param now the time
     * @return the number, 0 or more
     */
    public int excess(long now) {
        int held = 0;
        for (Lease lease : leases.values()) {
            boolean counted = lease.granted && lease.until + terms.holdNanos() - now > 0;
            held += counted ? lease.committed : 0;
        }
        return Math.max(0, inUse - held);
    }

    /**
     * Prepares a request to an owner. What the request does not keep must not be used any more, so the limit falls to
     * it at once.
     *
     * @param owner the owner
     * @param sequence rises with each request to the owner
     * @param want what is wanted from this owner
     * @param near whether this host is in the upstream's data centre
     * @param now the time
     * @return the request
     */
    public ShareRequest request(HostId owner, long sequence, int want, boolean near, long now) {
        Lease lease = leases.computeIfAbsent(owner, host -> new Lease());
        int limit = lease.valid(now) ? lease.limit : 0;
        int others = limit(now) - limit;
        int keep = Math.min(lease.committed, Math.max(Math.min(want, limit), inUse - others));
        lease.limit = Math.min(limit, keep);
        lease.committed = Math.max(0, keep);
        lease.sequence = sequence;
        return new ShareRequest(sequence, lease.committed, want, near);
    }

    /**
     * Takes in an owner's answer.
     *
     * @param owner the owner
     * @param sequence the sequence of the request it answers
     * @param limit the new limit
     * @param sentAt when the request was sent
     */
    public void answered(HostId owner, long sequence, int limit, long sentAt) {
        Lease lease = leases.get(owner);
        if (lease == null || lease.sequence != sequence) {
            return;
        }
        lease.limit = limit;
        lease.committed = Math.max(lease.committed, limit);
        lease.until = sentAt + terms.leaseNanos();
        lease.granted = true;
    }

    /** What one owner has lent. */
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
