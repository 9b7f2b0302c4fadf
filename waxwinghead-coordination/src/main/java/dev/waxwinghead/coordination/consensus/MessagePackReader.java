package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the MessagePack fields that a {@link MessagePackWriter} wrote. Lengths stated in a message aren't trusted: the
 * reader never allocates more than the size of the message.
 *
 * @since 0.1
 */
public final class MessagePackReader {
    private final int size;
    private final MessageUnpacker unpacker;

    /**
     * Creates a reader.
     *
     * @param message the bytes to read, not null
     */
    public MessagePackReader(byte[] message) {
        this.size = message.length;
        this.unpacker = MessagePack.newDefaultUnpacker(message);
    }

    /**
     * Reads an integer.
     *
     * @return the integer
     * @throws MalformedMessageException if the next field isn't an integer
     */
    public long readLong() throws MalformedMessageException {
        return read(unpacker::unpackLong);
    }

    /**
     * Reads a non-negative integer.
     *
     * @return the integer, from 0
     * @throws MalformedMessageException if the next field isn't an integer or is negative
     */
    public long readNonNegativeLong() throws MalformedMessageException {
        long value = readLong();
        if (value < 0) {
            throw new MalformedMessageException("expected a non-negative integer, but got " + value);
        }
        return value;
    }

    /**
     * Reads the number of list elements that follow.
     *
     * @param max the largest count allowed
     * @return the count, from 0
     * @throws MalformedMessageException if the next field isn't a list header, or if the count exceeds the maximum or
     *     the number of remaining bytes
     */
    public int readCount(int max) throws MalformedMessageException {
        int value = read(unpacker::unpackArrayHeader);
        if (value > max || value > remaining()) {
            throw new MalformedMessageException(
                    "list header states " + value + " elements, more than allowed or more than the remaining bytes");
        }
        return value;
    }

    /**
     * Reads a boolean.
     *
     * @return the value
     * @throws MalformedMessageException if the next field isn't a boolean
     */
    public boolean readBoolean() throws MalformedMessageException {
        return read(unpacker::unpackBoolean);
    }

    /**
     * Reads a string.
     *
     * @return the string, never null
     * @throws MalformedMessageException if the next field isn't a string within the message
     */
    public String readString() throws MalformedMessageException {
        int length = checkLength(read(unpacker::unpackRawStringHeader));
        return new String(read(() -> unpacker.readPayload(length)), java.nio.charset.StandardCharsets.UTF_8);
    }

    /**
     * Reads binary data.
     *
     * @return the bytes, never null
     * @throws MalformedMessageException if the next field isn't binary data within the message
     */
    public byte[] readBytes() throws MalformedMessageException {
        int length = checkLength(read(unpacker::unpackBinaryHeader));
        return read(() -> unpacker.readPayload(length));
    }

    /**
     * Reads a host id.
     *
     * @return the id, never null
     * @throws MalformedMessageException if the next field isn't a valid host id
     */
    public HostId readHostId() throws MalformedMessageException {
        String text = readString();
        return read(() -> HostId.of(text));
    }

    /**
     * Reads a replica id.
     *
     * @return the id, never null
     * @throws MalformedMessageException if the next field isn't a valid replica id
     */
    public ReplicaId readReplicaId() throws MalformedMessageException {
        String text = readString();
        return read(() -> ReplicaId.of(text));
    }

    /**
     * Checks that the message has no further bytes.
     *
     * @throws MalformedMessageException if bytes remain
     */
    public void requireEnd() throws MalformedMessageException {
        if (remaining() != 0) {
            throw new MalformedMessageException(remaining() + " unexpected bytes after the end of the message");
        }
    }

    private long remaining() {
        return size - unpacker.getTotalReadBytes();
    }

    private int checkLength(int length) throws MalformedMessageException {
        if (length > remaining()) {
            throw new MalformedMessageException(
                    "field header states " + length + " bytes, more than the remaining bytes");
        }
        return length;
    }

    private static <T> T read(ReadOperation<T> operation) throws MalformedMessageException {
        try {
            return operation.run();
        } catch (IOException | MessagePackException | WaxwingheadException e) {
            throw new MalformedMessageException("a field has the wrong type or an invalid value", e);
        }
    }

    /** Reads one field. */
    @FunctionalInterface
    private interface ReadOperation<T> {
        T run() throws IOException;
    }
}
