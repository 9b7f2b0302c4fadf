package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames as MessagePack: the type and the number, followed by the fields of that type.
 *
 * <p>The payload comes last, so that the sender can write it without copying.
 */
final class FrameCodec {
    private static final String MAGIC = "waxwinghead";

    private static final int HELLO = 1;
    private static final int WELCOME = 2;
    private static final int REFUSED = 3;
    private static final int HEARTBEAT = 4;
    private static final int MESSAGE = 5;
    private static final int CALL = 6;
    private static final int ANSWER = 7;
    private static final int FAILURE = 8;

    private FrameCodec() {}

    /** Returns the encoded frame without its payload. */
    static byte[] encodeHead(long number, Frame frame) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (frame instanceof Frame.Hello hello) {
                packHello(packHeader(packer, HELLO, number), hello);
            } else if (frame instanceof Frame.Welcome welcome) {
                packWelcome(packHeader(packer, WELCOME, number), welcome);
            } else if (frame instanceof Frame.Refused refused) {
                packHeader(packer, REFUSED, number).packString(refused.code());
                packer.packString(refused.message()).packString(refused.remedy());
            } else if (frame instanceof Frame.Heartbeat) {
                packHeader(packer, HEARTBEAT, number);
            } else if (frame instanceof Frame.Message message) {
                packHeader(packer, MESSAGE, number).packInt(ChannelCodes.codeOf(message.channel()));
            } else if (frame instanceof Frame.Call call) {
                packChannelAndId(packHeader(packer, CALL, number), call.channel(), call.id());
            } else if (frame instanceof Frame.Answer answer) {
                packChannelAndId(packHeader(packer, ANSWER, number), answer.channel(), answer.id());
            } else if (frame instanceof Frame.Failure failure) {
                packChannelAndId(packHeader(packer, FAILURE, number), failure.channel(), failure.id());
                packer.packString(failure.code()).packString(failure.message()).packString(failure.remedy());
            }
            return packer.toByteArray();
        }
    }

    /** Decodes a frame and validates its number. */
    static Frame decode(byte[] bytes, long expectedNumber) throws FrameException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int type = unpacker.unpackInt();
            long number = unpacker.unpackLong();
            if (number != expectedNumber) {
                throw new FrameException(
                        FrameException.Reason.OUT_OF_ORDER,
                        "received frame number " + number + ", expected " + expectedNumber);
            }
            return decodeFields(type, unpacker, bytes.length);
        } catch (FrameException e) {
            throw e;
        } catch (IOException | MessagePackException | WaxwingheadException e) {
            throw new FrameException(FrameException.Reason.MALFORMED, e.toString());
        }
    }

    private static Frame decodeFields(int type, MessageUnpacker unpacker, int length) throws IOException {
        return switch (type) {
            case HELLO -> unpackHello(unpacker);
            case WELCOME -> unpackWelcome(unpacker);
            case REFUSED ->
                new Frame.Refused(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
            case HEARTBEAT -> new Frame.Heartbeat();
            case MESSAGE -> new Frame.Message(unpackChannel(unpacker), unpackPayload(unpacker, length));
            case CALL ->
                new Frame.Call(unpackChannel(unpacker), unpacker.unpackLong(), unpackPayload(unpacker, length));
            case ANSWER ->
                new Frame.Answer(unpackChannel(unpacker), unpacker.unpackLong(), unpackPayload(unpacker, length));
            case FAILURE ->
                new Frame.Failure(
                        unpackChannel(unpacker),
                        unpacker.unpackLong(),
                        unpacker.unpackString(),
                        unpacker.unpackString(),
                        unpacker.unpackString());
            default -> throw new FrameException(FrameException.Reason.MALFORMED, "unknown frame type " + type);
        };
    }

    private static MessageBufferPacker packHeader(MessageBufferPacker packer, int type, long number)
            throws IOException {
        packer.packInt(type).packLong(number);
        return packer;
    }

    private static void packChannelAndId(MessageBufferPacker packer, PeerChannel channel, long id) throws IOException {
        packer.packInt(ChannelCodes.codeOf(channel)).packLong(id);
    }

    private static void packHello(MessageBufferPacker packer, Frame.Hello hello) throws IOException {
        packer.packString(MAGIC)
                .packInt(hello.version())
                .packString(hello.cluster())
                .packString(hello.host().value())
                .packString(hello.dataCentre().value())
                .packString(hello.target().value())
                .packLong(hello.connectionId())
                .packLong(hello.nonce());
    }

    private static Frame unpackHello(MessageUnpacker unpacker) throws IOException {
        if (!unpacker.unpackString().equals(MAGIC)) {
            throw new FrameException(FrameException.Reason.MALFORMED, "the hello frame has an unknown magic string");
        }
        return new Frame.Hello(
                unpacker.unpackInt(),
                unpacker.unpackString(),
                HostId.of(unpacker.unpackString()),
                DataCentreId.of(unpacker.unpackString()),
                HostId.of(unpacker.unpackString()),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }

    private static void packWelcome(MessageBufferPacker packer, Frame.Welcome welcome) throws IOException {
        packer.packInt(welcome.version())
                .packString(welcome.cluster())
                .packString(welcome.host().value())
                .packString(welcome.dataCentre().value())
                .packLong(welcome.nonce());
    }

    private static Frame unpackWelcome(MessageUnpacker unpacker) throws IOException {
        return new Frame.Welcome(
                unpacker.unpackInt(),
                unpacker.unpackString(),
                HostId.of(unpacker.unpackString()),
                DataCentreId.of(unpacker.unpackString()),
                unpacker.unpackLong());
    }

    private static PeerChannel unpackChannel(MessageUnpacker unpacker) throws IOException {
        int code = unpacker.unpackInt();
        return ChannelCodes.channelOf(code)
                .orElseThrow(() -> new FrameException(FrameException.Reason.MALFORMED, "unknown channel code " + code));
    }

    private static byte[] unpackPayload(MessageUnpacker unpacker, int length) throws IOException {
        return unpacker.readPayload((int) (length - unpacker.getTotalReadBytes()));
    }
}
