package dev.waxwinghead.scheduling.interference;

import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Records which interference classes ran on each worker, so that a delayed measurement can be attributed to the tasks
 * that ran when it was taken. Not thread-safe.
 *
 * @since 0.1
 */
public final class ColocationHistory {
    private final long spanNanos;
    private final Map<WorkerId, WorkerHistory> workers = new HashMap<>();

    private ColocationHistory(long spanNanos) {
        this.spanNanos = spanNanos;
    }

    /**
     * Creates an empty history.
     *
     * @param spanNanos how long changes are kept, in nanoseconds
     * @return the new history, never null
     */
    public static ColocationHistory create(long spanNanos) {
        return new ColocationHistory(spanNanos);
    }

    /**
     * Records that tasks of a class were added to a worker or removed from it.
     *
     * @param worker the worker
     * @param interferenceClass the class
     * @param delta the number of tasks added; negative if tasks were removed
     * @param now the current time, in nanoseconds
     */
    public void recordChange(WorkerId worker, String interferenceClass, int delta, long now) {
        WorkerHistory history = workers.computeIfAbsent(worker, key -> new WorkerHistory());
        history.counts.merge(interferenceClass, delta, (one, two) -> one + two == 0 ? null : one + two);
        history.changes.addLast(new Change(now, interferenceClass, delta));
        while (now - history.changes.peekFirst().atNanos > spanNanos) {
            history.lastDiscardedNanos = history.changes.pollFirst().atNanos;
            history.discarded = true;
        }
    }

    /**
     * Returns the tasks that ran on a worker at an instant.
     *
     * @param worker the worker
     * @param atNanos the instant, in nanoseconds
     * @return the number of tasks per class; also empty if the instant lies before the recorded history
     */
    public Map<String, Integer> countsAt(WorkerId worker, long atNanos) {
        WorkerHistory history = workers.get(worker);
        if (history == null || (history.discarded && atNanos - history.lastDiscardedNanos < 0)) {
            return Map.of();
        }
        Map<String, Integer> counts = new HashMap<>(history.counts);
        Iterator<Change> newestFirst = history.changes.descendingIterator();
        while (newestFirst.hasNext()) {
            Change change = newestFirst.next();
            if (change.atNanos - atNanos <= 0) {
                break;
            }
            counts.merge(change.interferenceClass, -change.delta, (one, two) -> one + two == 0 ? null : one + two);
        }
        return counts;
    }

    private record Change(long atNanos, String interferenceClass, int delta) {}

    private static final class WorkerHistory {
        private final Map<String, Integer> counts = new HashMap<>();
        private final Deque<Change> changes = new ArrayDeque<>();
        private long lastDiscardedNanos;
        private boolean discarded;
    }
}
