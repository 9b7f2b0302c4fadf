package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.scheduling.routing.ShareRequest;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes the requests of share holders and the answers of share owners as MessagePack. */
final class ShareCodec {
    private ShareCodec() {}

    /** Requests for shares of one or more upstreams, from one incarnation of the holder's process. */
    record RequestBatch(long incarnation, Map<ShareKey, ShareRequest> requests) {}

    static byte[] packRequests(RequestBatch batch) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(batch.incarnation()).packMapHeader(batch.requests().size());
            for (Map.Entry<ShareKey, ShareRequest> entry : batch.requests().entrySet()) {
                packKey(packer, entry.getKey());
                ShareRequest request = entry.getValue();
                packer.packLong(request.sequence())
                        .packInt(request.keep())
                        .packInt(request.want())
                        .packBoolean(request.sameDataCentre());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    static RequestBatch unpackRequests(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            long incarnation = unpacker.unpackLong();
            Map<ShareKey, ShareRequest> requests = new LinkedHashMap<>();
            int count = unpacker.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                ShareKey key = unpackKey(unpacker);
                requests.put(
                        key,
                        new ShareRequest(
                                unpacker.unpackLong(),
                                unpacker.unpackInt(),
                                unpacker.unpackInt(),
                                unpacker.unpackBoolean()));
            }
            return new RequestBatch(incarnation, requests);
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    static byte[] packLimits(Map<ShareKey, Integer> limits) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(limits.size());
            for (Map.Entry<ShareKey, Integer> entry : limits.entrySet()) {
                packKey(packer, entry.getKey());
                packer.packInt(entry.getValue());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    static Map<ShareKey, Integer> unpackLimits(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            Map<ShareKey, Integer> limits = new LinkedHashMap<>();
            int count = unpacker.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                limits.put(unpackKey(unpacker), unpacker.unpackInt());
            }
            return limits;
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    private static void packKey(MessageBufferPacker packer, ShareKey key) throws IOException {
        packer.packString(key.upstream().value());
        packer.packBoolean(key.resource() == Resource.FEEDS);
    }

    private static ShareKey unpackKey(MessageUnpacker unpacker) throws IOException {
        UpstreamId upstream = UpstreamId.of(unpacker.unpackString());
        return new ShareKey(upstream, unpacker.unpackBoolean() ? Resource.FEEDS : Resource.SLOTS);
    }

    private static WaxwingheadException malformed(IOException cause) {
        return WaxwingheadException.of(
                ErrorKind.INCOMPATIBLE_PEER,
                "malformed share message",
                "run the same version on all entry hosts",
                cause);
    }
}
