package dev.waxwinghead.daemon.claims;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Holds the wall clocks that hosts report, and their median, so that a single wrong clock expires no claim.
 *
 * <p>A host that reports nothing during {@value #MAX_MISSED_REPORTS} reports of the others is removed.
 */
final class HostClocks {
    private static final long MAX_MISSED_REPORTS = 1_000;

    private final TreeMap<String, long[]> clocks = new TreeMap<>();
    private long reportCount;

    private HostClocks() {}

    static HostClocks create() {
        return new HostClocks();
    }

    void record(String host, long epochMillis) {
        reportCount++;
        clocks.put(host, new long[] {epochMillis, reportCount});
        clocks.values().removeIf(clock -> clock[1] + MAX_MISSED_REPORTS < reportCount);
    }

    /** Returns the lower median, in milliseconds since the epoch. */
    long median() {
        long[] sorted =
                clocks.values().stream().mapToLong(clock -> clock[0]).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }

    void packTo(MessagePacker packer) throws IOException {
        packer.packLong(reportCount).packMapHeader(clocks.size());
        for (Map.Entry<String, long[]> clock : clocks.entrySet()) {
            packer.packString(clock.getKey());
            packer.packLong(clock.getValue()[0]).packLong(clock.getValue()[1]);
        }
    }

    void unpackFrom(MessageUnpacker unpacker) throws IOException {
        clocks.clear();
        reportCount = unpacker.unpackLong();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            clocks.put(unpacker.unpackString(), new long[] {unpacker.unpackLong(), unpacker.unpackLong()});
        }
    }
}
