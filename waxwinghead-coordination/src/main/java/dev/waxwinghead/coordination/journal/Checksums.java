package dev.waxwinghead.coordination.journal;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Computes the CRC32C checksums of the journal files. */
final class Checksums {
    private Checksums() {}

    static int of(byte[] bytes, int offset, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, offset, length);
        return (int) checksum.getValue();
    }

    static int of(ByteBuffer first, byte[]... others) {
        CRC32C checksum = new CRC32C();
        checksum.update(first);
        for (byte[] other : others) {
            checksum.update(other, 0, other.length);
        }
        return (int) checksum.getValue();
    }
}
