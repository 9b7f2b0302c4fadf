package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.List;
import java.util.OptionalLong;

/**
 * A change of the configuration, which is applied atomically.
 *
 * @param id the id of the change; a resend carries the same id
 * @param expectedRevision the revision that must be in force, or empty for any
 * @param puts the manifests to add or replace
 * @param deletes the keys of the manifests to remove; each must be in force
 */
public record ConfigurationChange(
        ChangeId id, OptionalLong expectedRevision, List<Manifest> puts, List<ManifestKey> deletes) {
    /** Copies the lists. */
    public ConfigurationChange {
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }
}
