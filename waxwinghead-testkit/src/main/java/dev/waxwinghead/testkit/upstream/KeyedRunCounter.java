package dev.waxwinghead.testkit.upstream;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;

/** Counts the runs of each idempotency key. Thread-safe. */
final class KeyedRunCounter {
    private final ConcurrentMap<String, Long> counts = new ConcurrentHashMap<>();
    private final Consumer<String> listener;

    private KeyedRunCounter(Consumer<String> listener) {
        this.listener = listener;
    }

    static KeyedRunCounter create(Consumer<String> listener) {
        return new KeyedRunCounter(listener);
    }

    long increment(String key) {
        listener.accept(key);
        return counts.merge(key, 1L, Long::sum);
    }

    long count(String key) {
        return counts.getOrDefault(key, 0L);
    }
}
