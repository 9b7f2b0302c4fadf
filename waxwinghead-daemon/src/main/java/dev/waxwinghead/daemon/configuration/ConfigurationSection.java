package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Holds the configuration as a section of the shared state.
 *
 * <p>A change may name the revision that it expects; of two changes that expect the same one, the first in the log
 * wins. The answers of the latest {@value #MAX_RECORDED_CHANGES} changes are recorded, so that a resend gets the first
 * answer.
 */
public final class ConfigurationSection implements StateSection, ConfigurationView {
    /** The number of changes by which a resend may lag; about four days at 2,300 changes a day. */
    static final int MAX_RECORDED_CHANGES = 10_000;

    private static final ChangeId NO_CHANGE = ChangeId.of("none");

    private final Map<ChangeId, RecordedResult> recordedResults = new LinkedHashMap<>();
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private ChangeId newestChange = NO_CHANGE;
    private volatile Configuration current = new Configuration(0, Collections.emptySortedMap());

    private ConfigurationSection() {}

    /**
     * Creates a section with an empty configuration.
     *
     * @return the section, never null
     */
    public static ConfigurationSection create() {
        return new ConfigurationSection();
    }

    @Override
    public SectionId id() {
        return SectionId.CONFIGURATION;
    }

    @Override
    public Configuration current() {
        return current;
    }

    @Override
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        ConfigurationChange change = ChangeCodec.unpackChange(command);
        String digest = ChangeCodec.digest(command);
        RecordedResult earlier = recordedResults.get(change.id());
        if (earlier != null) {
            ChangeResult answer = earlier.digest.equals(digest)
                    ? earlier.result.asReplay()
                    : ChangeResult.idReused(current.revision());
            return ChangeCodec.packResult(answer);
        }
        ChangeResult result = decide(change);
        recordResult(change.id(), new RecordedResult(digest, result));
        return ChangeCodec.packResult(result);
    }

    private ChangeResult decide(ConfigurationChange change) {
        long revision = current.revision();
        if (change.expectedRevision().isPresent() && change.expectedRevision().getAsLong() != revision) {
            return ChangeResult.conflict(revision, newestChange);
        }
        Optional<ManifestKey> missing = change.deletes().stream()
                .filter(key -> !current.entries().containsKey(key))
                .findFirst();
        if (missing.isPresent()) {
            return ChangeResult.notFound(revision, missing.get().toString());
        }
        long next = revision + 1;
        TreeMap<ManifestKey, Configuration.Entry> entries = new TreeMap<>(current.entries());
        change.deletes().forEach(entries::remove);
        for (Manifest manifest : change.puts()) {
            entries.put(manifest.key(), new Configuration.Entry(next, manifest));
        }
        newestChange = change.id();
        publish(new Configuration(next, Collections.unmodifiableSortedMap(entries)));
        return ChangeResult.accepted(next);
    }

    private void recordResult(ChangeId id, RecordedResult result) {
        recordedResults.put(id, result);
        if (recordedResults.size() > MAX_RECORDED_CHANGES) {
            recordedResults.remove(recordedResults.keySet().iterator().next());
        }
    }

    private void publish(Configuration configuration) {
        current = configuration;
        listeners.forEach(listener -> listener.accept(configuration));
    }

    @Override
    public byte[] snapshot() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(current.revision());
            packer.packString(newestChange.value());
            packer.packArrayHeader(current.entries().size());
            for (Configuration.Entry entry : current.entries().values()) {
                packer.packLong(entry.revision());
                packer.packString(Manifests.writeJson(entry.manifest()));
            }
            packer.packArrayHeader(recordedResults.size());
            for (Map.Entry<ChangeId, RecordedResult> entry : recordedResults.entrySet()) {
                packer.packString(entry.getKey().value());
                packer.packString(entry.getValue().digest);
                ChangeCodec.writeResult(packer, entry.getValue().result);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL, "the configuration can't be packed", "report this fault", e);
        }
    }

    @Override
    public void restore(byte[] snapshot) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(snapshot)) {
            long revision = unpacker.unpackLong();
            newestChange = ChangeId.of(unpacker.unpackString());
            TreeMap<ManifestKey, Configuration.Entry> entries = new TreeMap<>();
            for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
                long changedAt = unpacker.unpackLong();
                Manifest manifest = Manifests.readJson(unpacker.unpackString());
                entries.put(manifest.key(), new Configuration.Entry(changedAt, manifest));
            }
            recordedResults.clear();
            for (int remaining = unpacker.unpackArrayHeader(); remaining > 0; remaining--) {
                ChangeId id = ChangeId.of(unpacker.unpackString());
                recordedResults.put(id, new RecordedResult(unpacker.unpackString(), ChangeCodec.readResult(unpacker)));
            }
            publish(new Configuration(revision, Collections.unmodifiableSortedMap(entries)));
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE,
                    "the configuration in the snapshot is malformed",
                    "empty this host's data folder; the host then catches up from the others",
                    e);
        }
    }

    private record RecordedResult(String digest, ChangeResult result) {}
}
