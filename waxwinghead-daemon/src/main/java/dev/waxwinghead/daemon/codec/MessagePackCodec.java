package dev.waxwinghead.daemon.codec;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.resource.Resources;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Writes and reads MessagePack messages and their common field types. */
public final class MessagePackCodec {
    private MessagePackCodec() {}

    /**
     * Returns the encoded form of a message.
     *
     * @param writer writes the fields, not null
     * @return the bytes, never null
     */
    public static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw WaxwingheadException.of(ErrorKind.INTERNAL, "a message can't be encoded", "report this fault", e);
        }
    }

    /**
     * Returns the decoded value of a message.
     *
     * @param bytes the message
     * @param reader reads the fields
     * @param <T> the type of the value
     * @return the value returned by the reader
     * @throws WaxwingheadException of kind {@code INTERNAL} if the message is truncated or has fields of other types
     */
    public static <T> T unpack(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "a message is malformed", "run the same version on all entry hosts", e);
        }
    }

    /**
     * Writes an optional text.
     *
     * @param packer the packer to write to
     * @param text the object whose {@link Object#toString()} is written, null if absent
     * @throws IOException if the buffer can't be written
     */
    public static void optional(MessageBufferPacker packer, Object text) throws IOException {
        if (text == null) {
            packer.packNil();
        } else {
            packer.packString(text.toString());
        }
    }

    /**
     * Reads an optional text.
     *
     * @param unpacker the unpacker to read from
     * @return the text, null if absent
     * @throws IOException if the message is malformed or truncated
     */
    public static String optional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
    }

    /**
     * Writes resources.
     *
     * @param packer the packer to write to
     * @param resources the resources
     * @throws IOException if the buffer can't be written
     */
    public static void resources(MessageBufferPacker packer, Resources resources) throws IOException {
        packer.packLong(resources.millicores());
        packer.packLong(resources.memoryBytes());
        packer.packLong(resources.accelerators());
    }

    /**
     * Reads resources.
     *
     * @param unpacker the unpacker to read from
     * @return the resources, never null
     * @throws IOException if the message is malformed or truncated
     */
    public static Resources resources(MessageUnpacker unpacker) throws IOException {
        return Resources.of(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
    }

    /**
     * Writes a list.
     *
     * @param packer the packer to write to
     * @param values the elements
     * @param writer writes an element
     * @param <T> the type of the elements
     * @throws IOException if the buffer can't be written
     */
    public static <T> void list(MessageBufferPacker packer, Collection<T> values, ItemWriter<T> writer)
            throws IOException {
        packer.packArrayHeader(values.size());
        for (T value : values) {
            writer.write(packer, value);
        }
    }

    /**
     * Reads a list.
     *
     * @param unpacker the unpacker to read from
     * @param reader reads an element
     * @param <T> the type of the elements
     * @return the elements, never null
     * @throws IOException if the message is malformed or truncated
     */
    public static <T> List<T> list(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<T> values = new ArrayList<>(Math.min(size, 10_000));
        for (int i = 0; i < size; i++) {
            values.add(reader.read(unpacker));
        }
        return values;
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    public interface Writer {
        /**
         * Writes the fields.
         *
         * @param packer the packer to write to
         * @throws IOException if the buffer can't be written
         */
        void write(MessageBufferPacker packer) throws IOException;
    }

    /**
     * Writes a value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    public interface ItemWriter<T> {
        /**
         * Writes a value.
         *
         * @param packer the packer to write to
         * @param value the value
         * @throws IOException if the buffer can't be written
         */
        void write(MessageBufferPacker packer, T value) throws IOException;
    }

    /**
     * Reads a value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    public interface Reader<T> {
        /**
         * Reads a value.
         *
         * @param unpacker the unpacker to read from
         * @return the value
         * @throws IOException if the message is malformed or truncated
         */
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
