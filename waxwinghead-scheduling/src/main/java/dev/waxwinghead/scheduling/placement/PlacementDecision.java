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
    private static final String HELD =
            "the workers with room run services that it would slow down; it is placed there if it waits for long";

    static PlacementDecision on(WorkerId worker) {
        return new PlacementDecision(Optional.of(worker), null);
    }

    static PlacementDecision refused(String reason) {
        return new PlacementDecision(Optional.empty(), reason);
    }

    static PlacementDecision held() {
        return new PlacementDecision(Optional.empty(), HELD);
    }

    /**
     * Tells whether there is room, but only where the task would slow services down.
     *
     * @return true if the task is held back for that reason alone
     */
    public boolean isHeld() {
        return worker.isEmpty() && HELD.equals(reason);
    }
}
