package dev.waxwinghead.coordination.consensus;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes fields one after the other as MessagePack.
 *
 * @see PackReader
 * @since 0.1
 */
public final class PackWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Makes an empty writer. */
    public PackWriter() {}

    /**
     * Writes a whole number.
     *
     * @param value the number
     * @return this writer
     */
    public PackWriter number(long value) {
        return write(() -> packer.packLong(value));
    }

    /**
     * Writes how many elements follow.
     *
     * @param value the count, from 0
     * @return this writer
     */
    public PackWriter count(int value) {
        return write(() -> packer.packArrayHeader(value));
    }

    /**
     * Writes a truth value.
     *
     * @param value the value
     * @return this writer
     */
    public PackWriter flag(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    /**
     * Writes a text.
     *
     * @param value the text, not null
     * @return this writer
     */
    public PackWriter text(String value) {
        return write(() -> packer.packString(value));
    }

    /**
     * Writes bytes.
     *
     * @param value the bytes, not null
     * @return this writer
     */
    public PackWriter bytes(byte[] value) {
        return write(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    /**
     * Returns all that was written.
     *
     * @return the bytes, never null
     */
    public byte[] toBytes() {
        return packer.toByteArray();
    }

    private PackWriter write(Step step) {
        try {
            step.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("a buffer in memory can't be written", e);
        }
    }

    /** Writes one field. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }
}
