package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.LogEntry;
import java.util.TreeMap;

/** Tracks the memberships in the log by index. A membership is in force from the index of its entry on. */
final class MembershipHistory {
    private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

    MembershipHistory(long baseIndex, Membership base) {
        byIndex.put(baseIndex, base);
    }

    Membership current() {
        return byIndex.lastEntry().getValue();
    }

    long currentIndex() {
        return byIndex.lastKey();
    }

    Membership at(long index) {
        return byIndex.floorEntry(index).getValue();
    }

    void append(LogEntry entry) throws MalformedMessageException {
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            byIndex.put(entry.index(), Membership.decode(entry.payload()));
        }
    }

    void truncateFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    void compactTo(long index) {
        Long floor = byIndex.floorKey(index);
        if (floor != null) {
            byIndex.headMap(floor, false).clear();
        }
    }

    void resetTo(long index, Membership membership, boolean keepTail) {
        if (keepTail) {
            byIndex.headMap(index, true).clear();
        } else {
            byIndex.clear();
        }
        byIndex.put(index, membership);
    }
}
