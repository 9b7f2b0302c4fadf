package dev.waxwinghead.scheduling.interference;

import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Remembers which classes of tasks ran on each worker, so that a late measurement is matched with what ran when it was
 * taken. Used by one thread at a time.
 *
 * @since 0.1
 */
public final class ResidencyHistory {
    private final long spanNanos;
    private final Map<WorkerId, Residency> workers = new HashMap<>();

    private ResidencyHistory(long spanNanos) {
        this.spanNanos = spanNanos;
    }

    /**
     * Returns an empty history.
     *
     * @param spanNanos how far back it reaches, in nanoseconds
     * @return the history, never null
     */
    public static ResidencyHistory create(long spanNanos) {
        return new ResidencyHistory(spanNanos);
    }

    /**
     * Takes note that tasks of a class came to a worker or left it.
     *
     * @param worker the worker
     * @param interferenceClass the class
     * @param step how many came; negative if they left
     * @param now the time now, in nanoseconds
     */
    public void change(WorkerId worker, String interferenceClass, int step, long now) {
        Residency residency = workers.computeIfAbsent(worker, key -> new Residency());
        residency.counts.merge(interferenceClass, step, (one, two) -> one + two == 0 ? null : one + two);
        residency.changes.addLast(new Change(now, interferenceClass, step));
        while (now - residency.changes.peekFirst().atNanos > spanNanos) {
            residency.forgottenNanos = residency.changes.pollFirst().atNanos;
            residency.forgot = true;
        }
    }

    /**
     * Returns what ran on a worker at an instant.
     *
     * @param worker the worker
     * @param atNanos the instant
     * @return the tasks per class, empty also if the history does not reach back that far
     */
    public Map<String, Integer> at(WorkerId worker, long atNanos) {
        Residency residency = workers.get(worker);
        if (residency == null || (residency.forgot && atNanos - residency.forgottenNanos < 0)) {
            return Map.of();
        }
        Map<String, Integer> counts = new HashMap<>(residency.counts);
        Iterator<Change> newestFirst = residency.changes.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.atNanos - atNanos <= 0) {
                break;
            }
            counts.merge(change.interferenceClass, -change.step, (one, two) -> one + two == 0 ? null : one + two);
        }
        return counts;
    }

    private record Change(long atNanos, String interferenceClass, int step) {}

    private static final class Residency {
        private final Map<String, Integer> counts = new HashMap<>();
        private final Deque<Change> changes = new ArrayDeque<>();
        private long forgottenNanos;
        private boolean forgot;
    }
}
