package dev.waxwinghead.cli.check;

import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Compares manifests with the configuration in force.
 *
 * @param revision the revision in force
 * @param added the manifests of which none of the same key is in force
 * @param changed the manifests that differ from those in force
 * @param unchanged the manifests that are in force already
 * @param onlyInForce the manifests in force that the text does not name; applying the text leaves them in force
 * @since 0.2
 */
public record ConfigurationDifference(
        long revision,
        List<ManifestKey> added,
        List<ManifestKey> changed,
        List<ManifestKey> unchanged,
        List<ManifestKey> onlyInForce) {
    /**
     * Compares a text with the configuration in force.
     *
     * @param text the manifests
     * @param revision the revision in force
     * @param inForce the manifests in force by their keys
     * @return the difference, never null
     */
    public static ConfigurationDifference of(ManifestText text, long revision, Map<ManifestKey, Manifest> inForce) {
        List<ManifestKey> added = new ArrayList<>();
        List<ManifestKey> changed = new ArrayList<>();
        List<ManifestKey> unchanged = new ArrayList<>();
        for (ManifestText.Entry entry : text.entries()) {
            ManifestKey key = entry.manifest().key();
            Manifest current = inForce.get(key);
            if (current == null) {
                added.add(key);
            } else {
                (current.equals(entry.manifest()) ? unchanged : changed).add(key);
            }
        }
        List<ManifestKey> named =
                text.entries().stream().map(entry -> entry.manifest().key()).toList();
        List<ManifestKey> onlyInForce = inForce.keySet().stream()
                .filter(key -> !named.contains(key))
                .sorted()
                .toList();
        return new ConfigurationDifference(revision, added, changed, unchanged, onlyInForce);
    }
}
