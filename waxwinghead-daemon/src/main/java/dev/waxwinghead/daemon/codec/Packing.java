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
import org.msgpack.core.MessageUnpacker;

/** Helps to write and read MessagePack. */
public final class Packing {
    private Packing() {}

    /**
     * Writes a message.
     *
     * @param writer writes the fields, not null
     * @return the bytes, never null
     */
    public static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw WaxwingheadException.of(ErrorKind.INTERNAL, "a message can't be packed", "report this fault", e);
        }
    }

    /**
     * Reads a message.
     *
     * @param bytes the message
     * @param reader reads the fields
     * @param <T> the type of the value
     * @return the value
     */
    public static <T> T unpack(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "a message is malformed", "run the same version on all entry hosts", e);
        }
    }

    /**
     * Writes a text that may be missing.
     *
     * @param packer where to write
     * @param text the text, null if it is missing
     * @throws IOException if the message is malformed or cut short
     */
    public static void optional(MessageBufferPacker packer, Object text) throws IOException {
        if (text == null) {
            packer.packNil();
        } else {
            packer.packString(text.toString());
        }
    }

    /**
     * Reads a text that may be missing.
     *
     * @param unpacker where to read
     * @return the text, null if it is missing
     * @throws IOException if the message is malformed or cut short
     */
    public static String optional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
    }

    /**
     * Writes amounts of resources.
     *
     * @param packer where to write
     * @param resources the amounts
     * @throws IOException if the message is malformed or cut short
     */
    public static void resources(MessageBufferPacker packer, Resources resources) throws IOException {
        packer.packLong(resources.millicores());
        packer.packLong(resources.memoryBytes());
        packer.packLong(resources.accelerators());
    }

    /**
     * Reads amounts of resources.
     *
     * @param unpacker where to read
     * @return the amounts, never null
     * @throws IOException if the message is malformed or cut short
     */
    public static Resources resources(MessageUnpacker unpacker) throws IOException {
        return Resources.of(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
    }

    /**
     * Writes a list.
     *
     * @param packer where to write
     * @param values the elements
     * @param writer writes one element
     * @param <T> the type of an element
     * @throws IOException if the message is malformed or cut short
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
     * @param unpacker where to read
     * @param reader reads one element
     * @param <T> the type of an element
     * @return the elements, never null
     * @throws IOException if the message is malformed or cut short
     */
    public static <T> List<T> list(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<T> values = new ArrayList<>(Math.min(size, 10_000));
        for (int i = 0; i < size; i++) {
            values.add(reader.read(unpacker));
        }
        return values;
    }

    /** Writes a message. */
    @FunctionalInterface
    public interface Writer {
        /**
         * Writes the fields.
         *
         * @param packer where to write
         * @throws IOException if the buffer can't be written
         */
        void write(MessageBufferPacker packer) throws IOException;
    }

    /**
     * Writes one value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    public interface ItemWriter<T> {
        /**
         * Writes a value.
         *
         * @param packer where to write
         * @param value the value
         * @throws IOException if the buffer can't be written
         */
        void write(MessageBufferPacker packer, T value) throws IOException;
    }

    /**
     * Reads one value.
     *
     * @param <T> the type of the value
     */
    @FunctionalInterface
    public interface Reader<T> {
        /**
         * Reads a value.
         *
         * @param unpacker where to read
         * @return the value
         * @throws IOException if the message is malformed or cut short
         */
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
