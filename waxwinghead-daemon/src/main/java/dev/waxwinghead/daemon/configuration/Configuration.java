package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.Optional;
import java.util.SortedMap;
import java.util.stream.Stream;

/**
 * Holds the configuration of one revision. Immutable.
 *
 * @param revision the revision; 0 before the first change
 * @param entries the manifests in force
 */
public record Configuration(long revision, SortedMap<ManifestKey, Entry> entries) {
    /**
     * Holds one manifest in force.
     *
     * @param revision the revision at which it last changed
     * @param manifest the manifest
     */
    public record Entry(long revision, Manifest manifest) {}

    /**
     * Returns a manifest in force.
     *
     * @param key its kind and name
     * @return the entry, empty if there is none
     */
    public Optional<Entry> find(ManifestKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Returns all manifests of one type, in the order of their names.
     *
     * @param type the type
     * @param <M> the type
     * @return the manifests
     */
    public <M extends Manifest> Stream<M> all(Class<M> type) {
        return entries.values().stream()
                .map(Entry::manifest)
                .filter(type::isInstance)
                .map(type::cast);
    }
}
