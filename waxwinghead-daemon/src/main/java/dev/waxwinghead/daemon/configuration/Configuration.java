package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.Optional;
import java.util.SortedMap;
import java.util.stream.Stream;

/**
 * An immutable configuration at one revision.
 *
 * @param revision the revision, 0 before the first change
 * @param entries the manifests in force
 */
public record Configuration(long revision, SortedMap<ManifestKey, Entry> entries) {
    /**
     * A manifest in force.
     *
     * @param revision the revision at which the manifest last changed
     * @param manifest the manifest
     */
    public record Entry(long revision, Manifest manifest) {}

    /**
     * Returns a manifest in force.
     *
     * @param key the kind and name of the manifest
     * @return the entry, or empty if no such manifest is in force
     */
    public Optional<Entry> find(ManifestKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Returns all manifests of a type, in the order of their names.
     *
     * @param type the class of the manifests
     * @param <M> the type of the manifests
     * @return the manifests in force, never null
     */
    public <M extends Manifest> Stream<M> all(Class<M> type) {
        return entries.values().stream()
                .map(Entry::manifest)
                .filter(type::isInstance)
                .map(type::cast);
    }
}
