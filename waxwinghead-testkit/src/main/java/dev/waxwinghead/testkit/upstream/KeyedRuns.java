package dev.waxwinghead.testkit.upstream;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;

/** Counts how often each key was run. Thread-safe. */
final class KeyedRuns {
    private final ConcurrentMap<String, Long> counts = new ConcurrentHashMap<>();
    private final Consumer<String> listener;

    private KeyedRuns(Consumer<String> listener) {
        this.listener = listener;
    }

    static KeyedRuns create(Consumer<String> listener) {
        return new KeyedRuns(listener);
    }

    long add(String key) {
        listener.accept(key);
        return counts.merge(key, 1L, Long::sum);
    }

    long count(String key) {
        return counts.getOrDefault(key, 0L);
    }
}
