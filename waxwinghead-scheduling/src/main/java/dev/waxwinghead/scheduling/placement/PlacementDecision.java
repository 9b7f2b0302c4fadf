package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.id.WorkerId;
import java.util.Optional;

/**
 * The worker chosen for a task, or the reason why the task cannot be placed now.
 *
 * @param worker the chosen worker; empty if the task cannot be placed now
 * @param reason why the task cannot be placed; null if a worker was chosen
 * @since 0.1
 */
public record PlacementDecision(Optional<WorkerId> worker, String reason) {
    private static final String DEFERRED =
            "the workers with room run services that it would slow down; it is placed there if it waits for long";

    static PlacementDecision placedOn(WorkerId worker) {
        return new PlacementDecision(Optional.of(worker), null);
    }

    static PlacementDecision refused(String reason) {
        return new PlacementDecision(Optional.empty(), reason);
    }

    static PlacementDecision deferred() {
        return new PlacementDecision(Optional.empty(), DEFERRED);
    }

    /**
     * Returns whether the task is deferred because every worker with enough free resources runs services that the task
     * would slow down.
     *
     * @return true if that is the only reason
     */
    public boolean isDeferred() {
        return worker.isEmpty() && DEFERRED.equals(reason);
    }
}
