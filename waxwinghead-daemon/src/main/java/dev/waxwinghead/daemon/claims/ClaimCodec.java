package dev.waxwinghead.daemon.claims;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the commands, results and records of the claims section as MessagePack. */
final class ClaimCodec {
    private static final int CLAIM = 1;
    private static final int COMPLETE = 2;
    private static final int RELEASE = 3;
    private static final int RECORD_CLOCK = 4;

    private ClaimCodec() {}

    /** Writes to a packer. */
    interface Writer {
        void write(MessagePacker packer) throws IOException;
    }

    /** Reads from an unpacker. */
    interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    static <T> T unpack(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    static byte[] packCommand(ClaimCommand command) {
        return pack(packer -> packCommand(packer, command));
    }

    static ClaimCommand unpackCommand(byte[] bytes) {
        return unpack(bytes, ClaimCodec::unpackCommand);
    }

    static byte[] packResult(ClaimResult result) {
        return pack(packer -> {
            packer.packString(result.status().name());
            packAnswer(packer, result.answer());
        });
    }

    static ClaimResult unpackResult(byte[] bytes) {
        return unpack(
                bytes,
                unpacker ->
                        new ClaimResult(ClaimResult.Status.valueOf(unpacker.unpackString()), unpackAnswer(unpacker)));
    }

    static void packRecord(MessagePacker packer, ClaimRecord record) throws IOException {
        packer.packString(record.digest()).packString(record.dispatcher());
        packer.packLong(record.nonce()).packLong(record.claimedAtEpochMillis());
        packAnswer(packer, record.answer());
    }

    static ClaimRecord unpackRecord(MessageUnpacker unpacker) throws IOException {
        return new ClaimRecord(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpackAnswer(unpacker));
    }

    private static void packCommand(MessagePacker packer, ClaimCommand command) throws IOException {
        if (command instanceof ClaimCommand.Claim claim) {
            packer.packInt(CLAIM).packString(claim.key());
            packer.packString(claim.digest()).packString(claim.dispatcher());
            packer.packLong(claim.nonce()).packLong(claim.epochMillis());
        } else if (command instanceof ClaimCommand.Complete complete) {
            packer.packInt(COMPLETE).packString(complete.key()).packLong(complete.nonce());
            packAnswer(packer, complete.answer());
        } else if (command instanceof ClaimCommand.Release release) {
            packer.packInt(RELEASE).packString(release.key()).packLong(release.nonce());
        } else if (command instanceof ClaimCommand.RecordClock clock) {
            packer.packInt(RECORD_CLOCK).packString(clock.host()).packLong(clock.epochMillis());
        }
    }

    private static ClaimCommand unpackCommand(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        String subject = unpacker.unpackString();
        return switch (type) {
            case CLAIM ->
                new ClaimCommand.Claim(
                        subject,
                        unpacker.unpackString(),
                        unpacker.unpackString(),
                        unpacker.unpackLong(),
                        unpacker.unpackLong());
            case COMPLETE -> new ClaimCommand.Complete(subject, unpacker.unpackLong(), unpackAnswer(unpacker));
            case RELEASE -> new ClaimCommand.Release(subject, unpacker.unpackLong());
            case RECORD_CLOCK -> new ClaimCommand.RecordClock(subject, unpacker.unpackLong());
            default -> throw new IOException("command type " + type + " is unknown");
        };
    }

    private static void packAnswer(MessagePacker packer, RecordedAnswer answer) throws IOException {
        if (answer == null) {
            packer.packNil();
            return;
        }
        packer.packInt(answer.status()).packString(answer.upstream());
        packer.packMapHeader(answer.headers().size());
        for (Map.Entry<String, List<String>> header : new TreeMap<>(answer.headers()).entrySet()) {
            packer.packString(header.getKey()).packArrayHeader(header.getValue().size());
            for (String value : header.getValue()) {
                packer.packString(value);
            }
        }
        packBytes(packer, answer.body());
    }

    private static RecordedAnswer unpackAnswer(MessageUnpacker unpacker) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return null;
        }
        int status = unpacker.unpackInt();
        String upstream = unpacker.unpackString();
        Map<String, List<String>> headers = new LinkedHashMap<>();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            String name = unpacker.unpackString();
            List<String> values = new ArrayList<>();
            int length = unpacker.unpackArrayHeader();
            for (int j = 0; j < length; j++) {
                values.add(unpacker.unpackString());
            }
            headers.put(name, values);
        }
        return RecordedAnswer.of(status, upstream, headers, unpackBytes(unpacker));
    }

    private static void packBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    private static WaxwingheadException malformed(IOException cause) {
        return WaxwingheadException.of(
                ErrorKind.INTERNAL, "malformed claim message", "run the same version on all entry hosts", cause);
    }
}
