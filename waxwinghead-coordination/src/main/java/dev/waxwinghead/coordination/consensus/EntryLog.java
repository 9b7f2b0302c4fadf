package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.LogEntry;
import java.util.ArrayList;
import java.util.List;

/** Holds the log entries after a base index and tracks which of them are on disk. */
final class EntryLog {
    /** The term returned for an index that the log doesn't hold. */
    static final long UNKNOWN_TERM = -1;

    private final List<LogEntry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;
    private long persistedIndex;

    EntryLog(long baseIndex, long baseTerm, List<LogEntry> recovered) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        entries.addAll(recovered);
        persistedIndex = lastIndex();
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    long persistedIndex() {
        return persistedIndex;
    }

    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns the first index of the run of entries of the same term that ends at the given index. */
    long firstIndexOfTerm(long index) {
        long first = index;
        while (first - 1 > baseIndex && term(first - 1) == term(index)) {
            first--;
        }
        return first;
    }

    /** Returns the entries from the first to the last index, both inclusive. */
    List<LogEntry> slice(long first, long last) {
        if (first > last) {
            return List.of();
        }
        return List.copyOf(entries.subList((int) (first - baseIndex - 1), (int) (last - baseIndex)));
    }

    /** Returns as many entries from an index on as fit into the limit, but at least one if the log holds any. */
    List<LogEntry> batch(long first, int maxBytes) {
        long last = first - 1;
        long bytes = 0;
        while (last < lastIndex()) {
            bytes += entry(last + 1).payload().length;
            if (bytes > maxBytes && last >= first) {
                break;
            }
            last++;
        }
        return slice(first, last);
    }

    List<LogEntry> unpersisted() {
        return slice(persistedIndex + 1, lastIndex());
    }

    void append(LogEntry entry) {
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        persistedIndex = Math.min(persistedIndex, index - 1);
    }

    void markPersisted(long index) {
        persistedIndex = Math.max(persistedIndex, index);
    }

    /** Removes the entries up to and including an index that the log holds. */
    void compactTo(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = term(index);
        entries.subList(0, (int) (index - baseIndex)).clear();
        baseIndex = index;
        baseTerm = term;
    }

    /**
     * Makes a snapshot the base of the log. Keeps the entries after the snapshot if the log contains the last entry of
     * the snapshot.
     */
    void resetTo(long index, long term) {
        if (term(index) == term) {
            compactTo(index);
            persistedIndex = Math.max(persistedIndex, index);
            return;
        }
        entries.clear();
        baseIndex = index;
        baseTerm = term;
        persistedIndex = index;
    }
}
