package dev.waxwinghead.coordination.journal;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Knows which indexes are stored and the term of each, as runs of equal terms. */
final class LogTerms {
    private final TreeMap<Long, Long> runs = new TreeMap<>();
    private long baseIndex;
    private long lastIndex;

    LogTerms() {
        reset(0, 0);
    }

    /** Drops all entries; the next one follows the given one. */
    void reset(long index, long term) {
        runs.clear();
        runs.put(index, term);
        baseIndex = index;
        lastIndex = index;
    }

    /** Drops the entries from the given index on. */
    void truncateFrom(long index) {
        runs.tailMap(index, true).clear();
        lastIndex = Math.min(lastIndex, index - 1);
    }

    /** Adds the entry after the last one. */
    void add(long term) {
        lastIndex++;
        if (runs.lastEntry().getValue() != term) {
            runs.put(lastIndex, term);
        }
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return lastIndex;
    }

    /** Returns the term of a stored entry or of the one before the first. */
    OptionalLong termAt(long index) {
        if (index < baseIndex || index > lastIndex) {
            return OptionalLong.empty();
        }
        Map.Entry<Long, Long> run = runs.floorEntry(index);
        return OptionalLong.of(run.getValue());
    }
}
