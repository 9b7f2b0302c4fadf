package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.SnapshotChunk;
import dev.waxwinghead.coordination.storage.Snapshot;
import java.io.ByteArrayOutputStream;

/** Assembles a snapshot from its chunks. Memory grows with the received bytes, not with the stated length. */
final class SnapshotAssembly {
    private final SnapshotChunk first;
    private final ByteArrayOutputStream stateBytes = new ByteArrayOutputStream();

    SnapshotAssembly(SnapshotChunk first) {
        this.first = first;
    }

    boolean accepts(SnapshotChunk chunk) {
        return chunk.header().from().equals(first.header().from())
                && chunk.header().term() == first.header().term()
                && chunk.lastIndex() == first.lastIndex()
                && chunk.lastTerm() == first.lastTerm()
                && chunk.totalBytes() == first.totalBytes();
    }

    void add(SnapshotChunk chunk) {
        if (chunk.offset() == nextOffset()) {
            stateBytes.write(chunk.data(), 0, chunk.data().length);
        }
    }

    long nextOffset() {
        return stateBytes.size();
    }

    boolean isComplete() {
        return stateBytes.size() == first.totalBytes();
    }

    Snapshot toSnapshot() {
        return new Snapshot(first.lastIndex(), first.lastTerm(), first.membership(), stateBytes.toByteArray());
    }
}
