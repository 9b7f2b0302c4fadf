package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.id.WorkerId;
import java.util.Optional;

/**
 * Says where a task is to run, or why it can't run now.
 *
 * @param worker the worker, empty if none will do now
 * @param reason why not; null if there is a worker
 * @since 0.1
 */
public record PlacementDecision(Optional<WorkerId> worker, String reason) {
    static PlacementDecision on(WorkerId worker) {
        return new PlacementDecision(Optional.of(worker), null);
    }

    static PlacementDecision refused(String reason) {
        return new PlacementDecision(Optional.empty(), reason);
    }
}
