package dev.waxwinghead.benchmarks.callers;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their virtual time, and of their entry where that is equal. */
final class VirtualClock {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;

    private VirtualClock() {}

    static VirtualClock create() {
        return new VirtualClock();
    }

    long now() {
        return now;
    }

    void at(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    /** Runs the next event. */
    void step() {
        Event event = events.remove();
        now = event.at();
        event.action().run();
    }

    private record Event(long at, long order, Runnable action) {}
}
