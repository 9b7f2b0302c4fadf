package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields that a {@link PackWriter} wrote. No length that a message states is trusted: nothing larger than the
 * message itself is ever allocated.
 *
 * @since 0.1
 */
public final class PackReader {
    private final int size;
    private final MessageUnpacker unpacker;

    /**
     * Makes a reader.
     *
     * @param message the bytes to read, not null
     */
    public PackReader(byte[] message) {
        this.size = message.length;
        this.unpacker = MessagePack.newDefaultUnpacker(message);
    }

    /**
     * Reads a whole number.
     *
     * @return the number
     * @throws MalformedMessageException if there is none
     */
    public long number() throws MalformedMessageException {
        return read(unpacker::unpackLong);
    }

    /**
     * Reads a whole number that is not negative.
     *
     * @return the number, from 0
     * @throws MalformedMessageException if there is none
     */
    public long position() throws MalformedMessageException {
        long value = number();
        if (value < 0) {
            throw new MalformedMessageException("a position is negative: " + value);
        }
        return value;
    }

    /**
     * Reads how many elements follow.
     *
     * @param max the largest count allowed
     * @return the count, from 0
     * @throws MalformedMessageException if it is larger, or larger than the bytes that follow
     */
    public int count(int max) throws MalformedMessageException {
        int value = read(unpacker::unpackArrayHeader);
        if (value > max || value > remaining()) {
            throw new MalformedMessageException("a list states " + value + " elements");
        }
        return value;
    }

    /**
     * Reads a truth value.
     *
     * @return the value
     * @throws MalformedMessageException if there is none
     */
    public boolean flag() throws MalformedMessageException {
        return read(unpacker::unpackBoolean);
    }

    /**
     * Reads a text.
     *
     * @return the text, never null
     * @throws MalformedMessageException if there is none
     */
    public String text() throws MalformedMessageException {
        int length = checked(read(unpacker::unpackRawStringHeader));
        return new String(read(() -> unpacker.readPayload(length)), java.nio.charset.StandardCharsets.UTF_8);
    }

    /**
     * Reads bytes.
     *
     * @return the bytes, never null
     * @throws MalformedMessageException if there are none
     */
    public byte[] bytes() throws MalformedMessageException {
        int length = checked(read(unpacker::unpackBinaryHeader));
        return read(() -> unpacker.readPayload(length));
    }

    /**
     * Reads the id of a host.
     *
     * @return the id, never null
     * @throws MalformedMessageException if there is none
     */
    public HostId host() throws MalformedMessageException {
        String text = text();
        return read(() -> HostId.of(text));
    }

    /**
     * Reads the id of a replica.
     *
     * @return the id, never null
     * @throws MalformedMessageException if there is none
     */
    public ReplicaId replica() throws MalformedMessageException {
        String text = text();
        return read(() -> ReplicaId.of(text));
    }

    /**
     * Checks that nothing follows.
     *
     * @throws MalformedMessageException if something does
     */
    public void end() throws MalformedMessageException {
        if (remaining() != 0) {
            throw new MalformedMessageException(remaining() + " bytes follow the message");
        }
    }

    private long remaining() {
        return size - unpacker.getTotalReadBytes();
    }

    private int checked(int length) throws MalformedMessageException {
        if (length > remaining()) {
            throw new MalformedMessageException("a field states " + length + " bytes");
        }
        return length;
    }

    private static <T> T read(Step<T> step) throws MalformedMessageException {
        try {
            return step.run();
        } catch (IOException | MessagePackException | WaxwingheadException e) {
            throw new MalformedMessageException("a field is malformed", e);
        }
    }

    /** Reads one field. */
    @FunctionalInterface
    private interface Step<T> {
        T run() throws IOException;
    }
}
