package dev.waxwinghead.coordination.journal;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Tracks the range of stored indexes and their terms, storing only the first index of each range of equal terms. */
final class LogTerms {
    private final TreeMap<Long, Long> termsByFirstIndex = new TreeMap<>();
    private long baseIndex;
    private long lastIndex;

    LogTerms() {
        reset(0, 0);
    }

    /** Drops all entries; the next entry follows the entry with the given index and term. */
    void reset(long index, long term) {
        termsByFirstIndex.clear();
        termsByFirstIndex.put(index, term);
        baseIndex = index;
        lastIndex = index;
    }

    /** Drops all entries at and after the given index. */
    void truncateFrom(long index) {
        termsByFirstIndex.tailMap(index, true).clear();
        lastIndex = Math.min(lastIndex, index - 1);
    }

    /** Adds an entry with the given term after the last entry. */
    void add(long term) {
        lastIndex++;
        if (termsByFirstIndex.lastEntry().getValue() != term) {
            termsByFirstIndex.put(lastIndex, term);
        }
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return lastIndex;
    }

    /** Returns the term of a stored entry or of the entry before the first; empty for any other index. */
    OptionalLong termAt(long index) {
        if (index < baseIndex || index > lastIndex) {
            return OptionalLong.empty();
        }
        Map.Entry<Long, Long> entry = termsByFirstIndex.floorEntry(index);
        return OptionalLong.of(entry.getValue());
    }
}
