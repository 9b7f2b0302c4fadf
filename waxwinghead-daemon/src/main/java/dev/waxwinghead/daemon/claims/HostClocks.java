package dev.waxwinghead.daemon.claims;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Holds the wall clocks that hosts told, and their median: one clock that is wrong does not expire a claim.
 *
 * <p>A host that has told nothing during many of the others' ticks is forgotten.
 */
final class HostClocks {
    private static final long TICKS_KEPT = 1_000;

    private final TreeMap<String, long[]> clocks = new TreeMap<>();
    private long ticks;

    private HostClocks() {}

    static HostClocks create() {
        return new HostClocks();
    }

    void record(String host, long epochMillis) {
        ticks++;
        clocks.put(host, new long[] {epochMillis, ticks});
        clocks.values().removeIf(clock -> clock[1] + TICKS_KEPT < ticks);
    }

    /** Returns the lower median, in milliseconds since the epoch. */
    long median() {
        long[] sorted =
                clocks.values().stream().mapToLong(clock -> clock[0]).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }

    void packTo(MessagePacker packer) throws IOException {
        packer.packLong(ticks).packMapHeader(clocks.size());
        for (Map.Entry<String, long[]> clock : clocks.entrySet()) {
            packer.packString(clock.getKey());
            packer.packLong(clock.getValue()[0]).packLong(clock.getValue()[1]);
        }
    }

    void unpackFrom(MessageUnpacker unpacker) throws IOException {
        clocks.clear();
        ticks = unpacker.unpackLong();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            clocks.put(unpacker.unpackString(), new long[] {unpacker.unpackLong(), unpacker.unpackLong()});
        }
    }
}
