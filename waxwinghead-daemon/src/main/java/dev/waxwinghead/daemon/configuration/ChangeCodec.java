package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes configuration changes and their results as MessagePack. */
final class ChangeCodec {
    private static final long ANY_REVISION = -1;

    private ChangeCodec() {}

    static byte[] packChange(ConfigurationChange change) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(change.id().value());
            packer.packLong(change.expectedRevision().orElse(ANY_REVISION));
            packer.packArrayHeader(change.puts().size());
            for (Manifest manifest : change.puts()) {
                packer.packString(Manifests.writeJson(manifest));
            }
            packer.packArrayHeader(change.deletes().size());
            for (ManifestKey key : change.deletes()) {
                packKey(packer, key);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw codecFailure(e);
        }
    }

    static ConfigurationChange unpackChange(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            ChangeId id = ChangeId.of(unpacker.unpackString());
            long expected = unpacker.unpackLong();
            List<Manifest> puts = new ArrayList<>();
            for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
                puts.add(Manifests.readJson(unpacker.unpackString()));
            }
            List<ManifestKey> deletes = new ArrayList<>();
            for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
                deletes.add(unpackKey(unpacker));
            }
            OptionalLong expectedRevision = expected == ANY_REVISION ? OptionalLong.empty() : OptionalLong.of(expected);
            return new ConfigurationChange(id, expectedRevision, puts, deletes);
        } catch (IOException e) {
            throw codecFailure(e);
        }
    }

    static byte[] packResult(ChangeResult result) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writeResult(packer, result);
            return packer.toByteArray();
        } catch (IOException e) {
            throw codecFailure(e);
        }
    }

    static ChangeResult unpackResult(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return readResult(unpacker);
        } catch (IOException e) {
            throw codecFailure(e);
        }
    }

    static void writeResult(MessageBufferPacker packer, ChangeResult result) throws IOException {
        packer.packString(result.status().name());
        packer.packLong(result.revision());
        packer.packString(result.detail());
        packer.packBoolean(result.replayed());
    }

    static ChangeResult readResult(MessageUnpacker unpacker) throws IOException {
        ChangeResult.Status status = ChangeResult.Status.valueOf(unpacker.unpackString());
        return new ChangeResult(status, unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackBoolean());
    }

    static void packKey(MessageBufferPacker packer, ManifestKey key) throws IOException {
        packer.packString(key.kind().text());
        packer.packString(key.name());
    }

    static ManifestKey unpackKey(MessageUnpacker unpacker) throws IOException {
        return ManifestKey.of(ManifestKind.ofText(unpacker.unpackString()), unpacker.unpackString());
    }

    /** Returns a digest of a packed change, which distinguishes a resend from another change with the same id. */
    static String digest(byte[] packedChange) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(packedChange));
        } catch (NoSuchAlgorithmException e) {
            throw codecFailure(e);
        }
    }

    private static WaxwingheadException codecFailure(Exception cause) {
        return WaxwingheadException.of(
                ErrorKind.INTERNAL, "a configuration change can't be packed or unpacked", "report this fault", cause);
    }
}
