package dev.waxwinghead.benchmarks.callers;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their virtual time, and in the order of scheduling where the times are equal. */
final class VirtualClock {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private long now;
    private long nextOrder;

    private VirtualClock() {}

    static VirtualClock create() {
        return new VirtualClock();
    }

    long now() {
        return now;
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(time, nextOrder++, action));
    }

    /** Advances the time to that of the next event and runs its action. */
    void runNextEvent() {
        Event event = events.remove();
        now = event.time();
        event.action().run();
    }

    private record Event(long time, long order, Runnable action) {}
}
