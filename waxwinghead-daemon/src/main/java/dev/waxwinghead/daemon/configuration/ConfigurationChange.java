package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.List;
import java.util.OptionalLong;

/**
 * Describes one change of the configuration. It is applied whole or not at all.
 *
 * @param id the change's id; a resend carries the same one
 * @param expectedRevision the revision that must be in force, or empty for any
 * @param puts manifests to add or replace
 * @param deletes manifests to take out; each must be in force
 */
public record ConfigurationChange(
        ChangeId id, OptionalLong expectedRevision, List<Manifest> puts, List<ManifestKey> deletes) {
    /** Copies the lists. */
    public ConfigurationChange {
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }
}
