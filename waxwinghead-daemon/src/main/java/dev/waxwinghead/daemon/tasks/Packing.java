package dev.waxwinghead.daemon.tasks;

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
final class Packing {
    private Packing() {}

    static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw WaxwingheadException.of(ErrorKind.INTERNAL, "a message can't be packed", "report this fault", e);
        }
    }

    static <T> T unpack(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "a message is malformed", "run the same version on all entry hosts", e);
        }
    }

    static void optional(MessageBufferPacker packer, Object text) throws IOException {
        if (text == null) {
            packer.packNil();
        } else {
            packer.packString(text.toString());
        }
    }

    static String optional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
    }

    static void resources(MessageBufferPacker packer, Resources resources) throws IOException {
        packer.packLong(resources.millicores());
        packer.packLong(resources.memoryBytes());
        packer.packLong(resources.accelerators());
    }

    static Resources resources(MessageUnpacker unpacker) throws IOException {
        return Resources.of(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
    }

    static <T> void list(MessageBufferPacker packer, Collection<T> values, ItemWriter<T> writer) throws IOException {
        packer.packArrayHeader(values.size());
        for (T value : values) {
            writer.write(packer, value);
        }
    }

    static <T> List<T> list(MessageUnpacker unpacker, Reader<T> reader) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<T> values = new ArrayList<>(Math.min(size, 10_000));
        for (int i = 0; i < size; i++) {
            values.add(reader.read(unpacker));
        }
        return values;
    }

    /** Writes a message. */
    @FunctionalInterface
    interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /** Writes one value. */
    @FunctionalInterface
    interface ItemWriter<T> {
        void write(MessageBufferPacker packer, T value) throws IOException;
    }

    /** Reads one value. */
    @FunctionalInterface
    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }
}
