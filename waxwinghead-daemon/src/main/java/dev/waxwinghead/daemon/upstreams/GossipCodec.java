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

/** Encodes and decodes the messages that entry hosts exchange about upstreams, in MessagePack. */
final class GossipCodec {
    private GossipCodec() {}

    /**
     * Requests the changes since a version of the peer's registry.
     *
     * @param incarnation identifies the peer's process that the version belongs to, 0 if none is known
     * @param version the newest version received, 0 for all entries
     */
    record Request(long incarnation, long version) {}

    /** Describes an upstream and assigns the number that identifies it in later responses. */
    record Description(long number, Upstream upstream, boolean leaving) {}

    /** Renews the lease of the upstream with the given number. */
    record Renewal(long number, long remainingMillis) {}

    /** Responds to a {@link Request}: descriptions of changed upstreams and renewals of all announced ones. */
    record Response(long incarnation, long version, List<Description> descriptions, List<Renewal> renewals) {}

    static byte[] pack(Request request) {
        return pack(packer -> packer.packLong(request.incarnation()).packLong(request.version()));
    }

    static Request unpackRequest(byte[] bytes) {
        return unpack(bytes, unpacker -> new Request(unpacker.unpackLong(), unpacker.unpackLong()));
    }

    static byte[] pack(Response response) {
        return pack(packer -> {
            packer.packLong(response.incarnation()).packLong(response.version());
            packer.packArrayHeader(response.descriptions().size());
            for (Description description : response.descriptions()) {
                packDescription(packer, description);
            }
            packer.packArrayHeader(response.renewals().size());
            for (Renewal renewal : response.renewals()) {
                packer.packLong(renewal.number()).packLong(renewal.remainingMillis());
            }
        });
    }

    static Response unpackResponse(byte[] bytes) {
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
            return new Response(incarnation, version, descriptions, renewals);
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

    private interface Writer {
        void write(MessagePacker packer) throws IOException;
    }

    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    private static <T> T unpack(byte[] bytes, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
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
