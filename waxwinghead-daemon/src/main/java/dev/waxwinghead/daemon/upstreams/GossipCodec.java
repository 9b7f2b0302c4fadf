package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.UpstreamId;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Packs and unpacks what entry hosts tell each other about upstreams, in MessagePack. */
final class GossipCodec {
    private GossipCodec() {}

    /** Asks for what changed since a version of the registry of one process life. */
    record Question(long incarnation, long version) {}

    /** Describes an upstream under a number that later answers use. */
    record Description(long number, Upstream upstream, boolean leaving) {}

    /** Renews the lease of the upstream with a number. */
    record Renewal(long number, long remainingMillis) {}

    /** Answers a question. */
    record Answer(long incarnation, long version, List<Description> descriptions, List<Renewal> renewals) {}

    static byte[] pack(Question question) {
        return pack(packer -> packer.packLong(question.incarnation()).packLong(question.version()));
    }

    static Question unpackQuestion(byte[] bytes) {
        return unpack(bytes, unpacker -> new Question(unpacker.unpackLong(), unpacker.unpackLong()));
    }

    static byte[] pack(Answer answer) {
        return pack(packer -> {
            packer.packLong(answer.incarnation()).packLong(answer.version());
            packer.packArrayHeader(answer.descriptions().size());
            for (Description description : answer.descriptions()) {
                packDescription(packer, description);
            }
            packer.packArrayHeader(answer.renewals().size());
            for (Renewal renewal : answer.renewals()) {
                packer.packLong(renewal.number()).packLong(renewal.remainingMillis());
            }
        });
    }

    static Answer unpackAnswer(byte[] bytes) {
        return unpack(bytes, unpacker -> {
            long incarnation = unpacker.unpackLong();
            long version = unpacker.unpackLong();
            List<Description> descriptions = new ArrayList<>();
            int described = unpacker.unpackArrayHeader();
            for (int i = 0; i < described; i++) {
                descriptions.add(unpackDescription(unpacker));
            }
            List<Renewal> renewals = new ArrayList<>();
            int renewed = unpacker.unpackArrayHeader();
            for (int i = 0; i < renewed; i++) {
                renewals.add(new Renewal(unpacker.unpackLong(), unpacker.unpackLong()));
            }
            return new Answer(incarnation, version, descriptions, renewals);
        });
    }

    static byte[] packLeaving(UpstreamId upstream) {
        return upstream.value().getBytes(StandardCharsets.UTF_8);
    }

    static UpstreamId unpackLeaving(byte[] bytes) {
        return UpstreamId.of(new String(bytes, StandardCharsets.UTF_8));
    }

    private static void packDescription(MessagePacker packer, Description description) throws IOException {
        Upstream upstream = description.upstream();
        packer.packLong(description.number());
        packer.packString(upstream.id().value());
        packer.packString(upstream.service().value());
        packer.packString(upstream.address().getHostString());
        packer.packInt(upstream.address().getPort());
        packer.packString(upstream.dataCentre().value());
        packer.packString(upstream.worker());
        packer.packInt(upstream.slots()).packInt(upstream.connections());
        packer.packBoolean(description.leaving());
    }

    private static Description unpackDescription(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        Upstream upstream = new Upstream(
                UpstreamId.of(unpacker.unpackString()),
                ServiceName.of(unpacker.unpackString()),
                new InetSocketAddress(unpacker.unpackString(), unpacker.unpackInt()),
                DataCentreId.of(unpacker.unpackString()),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackInt());
        return new Description(number, upstream, unpacker.unpackBoolean());
    }

    private interface Packing {
        void to(MessagePacker packer) throws IOException;
    }

    private interface Unpacking<T> {
        T from(MessageUnpacker unpacker) throws IOException;
    }

    private static byte[] pack(Packing packing) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packing.to(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    private static <T> T unpack(byte[] bytes, Unpacking<T> unpacking) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpacking.from(unpacker);
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    private static WaxwingheadException malformed(IOException cause) {
        return WaxwingheadException.of(
                ErrorKind.INCOMPATIBLE_PEER,
                "a message about upstreams is malformed",
                "run the same version on all entry hosts",
                cause);
    }
}
