package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.HashMap;
import java.util.Map;

/** Counts the tasks of each owner per rack. */
final class SpreadCounts {
    private final Map<ManifestKey, Map<RackId, Integer>> countsByRack = new HashMap<>();

    void add(ManifestKey owner, RackId rack, int delta) {
        Map<RackId, Integer> racks = countsByRack.computeIfAbsent(owner, key -> new HashMap<>());
        if (racks.merge(rack, delta, Integer::sum) == 0) {
            racks.remove(rack);
        }
        if (racks.isEmpty()) {
            countsByRack.remove(owner);
        }
    }

    int onRack(ManifestKey owner, RackId rack) {
        Map<RackId, Integer> racks = countsByRack.get(owner);
        return racks == null ? 0 : racks.getOrDefault(rack, 0);
    }
}
