package dev.waxwinghead.coordination.consensus;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes a sequence of fields as MessagePack.
 *
 * @see MessagePackReader
 * @since 0.1
 */
public final class MessagePackWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Creates an empty writer. */
    public MessagePackWriter() {}

    /**
     * Writes an integer.
     *
     * @param value the integer
     * @return this writer
     */
    public MessagePackWriter writeLong(long value) {
        return write(() -> packer.packLong(value));
    }

    /**
     * Writes the number of list elements that follow.
     *
     * @param value the count, from 0
     * @return this writer
     */
    public MessagePackWriter writeCount(int value) {
        return write(() -> packer.packArrayHeader(value));
    }

    /**
     * Writes a boolean.
     *
     * @param value the value
     * @return this writer
     */
    public MessagePackWriter writeBoolean(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    /**
     * Writes a string.
     *
     * @param value the string, not null
     * @return this writer
     */
    public MessagePackWriter writeString(String value) {
        return write(() -> packer.packString(value));
    }

    /**
     * Writes binary data.
     *
     * @param value the bytes, not null
     * @return this writer
     */
    public MessagePackWriter writeBytes(byte[] value) {
        return write(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    /**
     * Returns the encoded fields.
     *
     * @return the bytes, never null
     */
    public byte[] toBytes() {
        return packer.toByteArray();
    }

    private MessagePackWriter write(WriteOperation operation) {
        try {
            operation.run();
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("could not write to an in-memory buffer", e);
        }
    }

    /** Writes one field. */
    @FunctionalInterface
    private interface WriteOperation {
        void run() throws IOException;
    }
}
