package dev.waxwinghead.scheduling.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Grants leases on the slots of one upstream that one entry host owns.
 *
 * <p>The slots that holders may use or may still have in use never exceed the total. If holders want more, each gets
 * its max-min fair share: holders in the upstream's data centre share all slots, and the others share the slots that
 * these leave. A holder above its fair share is answered with a lower limit, and the slots it returns go to the others.
 *
 * <p>An owner starts closed, since an earlier incarnation of its process may have granted slots: until opened, the
 * owner only confirms the slots that holders report as kept. Not thread-safe.
 *
 * @since 0.1
 */
public final class ShareOwner {
    private final int total;
    private final ShareTerms terms;
    private final Map<String, Grant> grants = new HashMap<>();
    private boolean open;

    private ShareOwner(int total, ShareTerms terms) {
        this.total = total;
        this.terms = terms;
    }

    /**
     * Returns a closed owner that has granted no slots.
     *
     * @param total the number of slots owned, 0 or more
     * @param terms the durations of leases
     * @return the owner, never null
     */
    public static ShareOwner create(int total, ShareTerms terms) {
        if (total < 0) {
            throw new IllegalArgumentException("total is " + total + ", but must be 0 or more");
        }
        return new ShareOwner(total, terms);
    }

    /** Opens the owner: every share granted by an earlier incarnation has expired or was reported by its holder. */
    public void open() {
        open = true;
    }

    /**
     * Answers a holder's request.
     *
     * @param holder the incarnation of the holder's process
     * @param request the request
     * @param now the current time, in nanoseconds
     * @return the holder's new limit; empty for a duplicate request, or one sent before a request already answered
     */
    public OptionalInt answer(String holder, ShareRequest request, long now) {
        grants.values().removeIf(grant -> grant.countedUntil - now <= 0);
        Grant grant = grants.get(holder);
        if (grant != null && request.sequence() <= grant.sequence) {
            return OptionalInt.empty();
        }
        int otherCommitted = committed() - (grant == null ? 0 : grant.committed);
        int limit = open
                ? Math.min(fairShare(holder, request.want(), request.sameDataCentre()), total - otherCommitted)
                : request.keep();
        limit = Math.max(0, limit);
        grants.put(
                holder,
                new Grant(
                        request.sequence(),
                        Math.max(limit, request.keep()),
                        request.want(),
                        request.sameDataCentre(),
                        now + terms.committedNanos()));
        return OptionalInt.of(limit);
    }

    /**
     * Returns the limit that a request would be answered with now, without granting anything.
     *
     * @param holder the incarnation of the holder's process
     * @param want the number of slots that the holder would ask for
     * @param sameDataCentre whether the holder is in the upstream's data centre
     * @param now the current time, in nanoseconds
     * @return the limit, 0 or more; 0 while the owner is closed
     */
    public int offer(String holder, int want, boolean sameDataCentre, long now) {
        if (!open) {
            return 0;
        }
        grants.values().removeIf(grant -> grant.countedUntil - now <= 0);
        Grant grant = grants.get(holder);
        int otherCommitted = committed() - (grant == null ? 0 : grant.committed);
        return Math.max(0, Math.min(fairShare(holder, want, sameDataCentre), total - otherCommitted));
    }

    /**
     * Returns the number of slots that holders may use or may still have in use.
     *
     * @return the number of slots
     */
    public int committed() {
        return grants.values().stream().mapToInt(grant -> grant.committed).sum();
    }

    private int fairShare(String holder, int want, boolean sameDataCentre) {
        int remaining = total;
        List<Integer> wants = new ArrayList<>();
        wants.add(want);
        for (Map.Entry<String, Grant> entry : grants.entrySet()) {
            Grant grant = entry.getValue();
            if (entry.getKey().equals(holder)) {
                continue;
            }
            if (grant.sameDataCentre == sameDataCentre) {
                wants.add(grant.want);
            } else if (grant.sameDataCentre) {
                remaining -= grant.want;
            }
        }
        return maxMinShare(want, wants, Math.max(0, remaining));
    }

    private static int maxMinShare(int want, List<Integer> wants, int total) {
        wants.sort(null);
        int remaining = total;
        for (int i = 0; i < wants.size(); i++) {
            int level = ceilDivide(remaining, wants.size() - i);
            if (wants.get(i) > level) {
                return Math.min(want, level);
            }
            remaining -= wants.get(i);
        }
        return want;
    }

    private static int ceilDivide(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    /** Holds the slots that one holder may use or may still have in use. */
    private record Grant(long sequence, int committed, int want, boolean sameDataCentre, long countedUntil) {}
}
