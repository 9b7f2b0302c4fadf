package dev.waxwinghead.scheduling.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Lends the slots of one upstream that one entry host owns.
 *
 * <p>The sum of what holders may use or may still have in use never exceeds the total. Where they want more, each gets
 * its max-min fair part, those of the upstream's data centre first and the others of what these leave. A holder above
 * its part is told a lower limit, and what it gives back goes to the others.
 *
 * <p>An owner starts closed, since an earlier life of its process may have lent: until it is opened it only confirms
 * what holders say they keep. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ShareOwner {
    private final int total;
    private final ShareTerms terms;
    private final Map<String, Loan> loans = new HashMap<>();
    private boolean open;

    private ShareOwner(int total, ShareTerms terms) {
        this.total = total;
        this.terms = terms;
    }

    /**
     * Returns a closed owner that has lent nothing.
     *
     * @param total what it owns, 0 or more
     * @param terms the times
     * @return the owner, never null
     */
    public static ShareOwner create(int total, ShareTerms terms) {
        if (total < 0) {
            throw new IllegalArgumentException("total is " + total + "; give 0 or more");
        }
        return new ShareOwner(total, terms);
    }

    /** Lets the owner lend: every share that an earlier life lent has ended or was told by its holder. */
    public void open() {
        open = true;
    }

    /**
     * Answers a request.
     *
     * @param holder the life of the holder's process
     * @param request the request
     * @param now the time, in nanoseconds
     * @return the holder's new limit; empty for a request that a later one overtook
     */
    public OptionalInt answer(String holder, ShareRequest request, long now) {
        loans.values().removeIf(loan -> loan.countedUntil - now <= 0);
        Loan loan = loans.get(holder);
        if (loan != null && request.sequence() <= loan.sequence) {
            return OptionalInt.empty();
        }
        int others = committed() - (loan == null ? 0 : loan.committed);
        int limit = open ? Math.min(fairPart(holder, request.want(), request.near()), total - others) : request.keep();
        limit = Math.max(0, limit);
        loans.put(
                holder,
                new Loan(
                        request.sequence(),
                        Math.max(limit, request.keep()),
                        request.want(),
                        request.near(),
                        now + terms.countedNanos()));
        return OptionalInt.of(limit);
    }

    /**
     * Returns the limit that a holder would be told now; nothing changes.
     *
     * @param holder the life of the holder's process
     * @param want how much it would ask for
     * @param near whether it is in the upstream's data centre
     * @param now the time, in nanoseconds
     * @return the limit, 0 or more; 0 while the owner is closed
     */
    public int offer(String holder, int want, boolean near, long now) {
        if (!open) {
            return 0;
        }
        loans.values().removeIf(loan -> loan.countedUntil - now <= 0);
        Loan loan = loans.get(holder);
        int others = committed() - (loan == null ? 0 : loan.committed);
        return Math.max(0, Math.min(fairPart(holder, want, near), total - others));
    }

    /**
     * Returns what holders may use or may still have in use.
     *
     * @return the sum
     */
    public int committed() {
        return loans.values().stream().mapToInt(loan -> loan.committed).sum();
    }

    private int fairPart(String holder, int want, boolean near) {
        int left = total;
        List<Integer> wants = new ArrayList<>();
        wants.add(want);
        for (Map.Entry<String, Loan> entry : loans.entrySet()) {
            Loan loan = entry.getValue();
            if (entry.getKey().equals(holder)) {
                continue;
            }
            if (loan.near == near) {
                wants.add(loan.want);
            } else if (loan.near) {
                left -= loan.want;
            }
        }
        return maxMinPart(want, wants, Math.max(0, left));
    }

    private static int maxMinPart(int want, List<Integer> wants, int total) {
        wants.sort(null);
        int left = total;
        for (int i = 0; i < wants.size(); i++) {
            int level = ceilDivide(left, wants.size() - i);
            if (wants.get(i) > level) {
                return Math.min(want, level);
            }
            left -= wants.get(i);
        }
        return want;
    }

    private static int ceilDivide(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    /** What one holder may use or may still have in use. */
    private record Loan(long sequence, int committed, int want, boolean near, long countedUntil) {}
}
