package dev.waxwinghead.scheduling.placement;

import java.util.List;
import java.util.Optional;

/** Says in words why no worker will do. */
final class PlacementReason {
    private PlacementReason() {}

    static String explain(Workload workload, List<WorkerSlot> slots) {
        Optional<String> never = impossible(workload, slots);
        if (never.isPresent()) {
            return never.get();
        }
        long open = slots.stream()
                .filter(WorkerSlot::open)
                .filter(slot -> fitsWhenIdle(workload, slot))
                .count();
        if (open == 0) {
            return "every worker that could run it is out of contact, draining or quarantined";
        }
        if (workload.placement().beside() != null) {
            return "no worker with room runs a task that 'beside' selects";
        }
        return "the workers that could run it have no room now, or run tasks that it may not share a worker with";
    }

    static Optional<String> impossible(Workload workload, List<WorkerSlot> slots) {
        if (slots.isEmpty()) {
            return Optional.of("no worker has announced itself");
        }
        WorkerSlot nearest = null;
        double least = Double.POSITIVE_INFINITY;
        for (WorkerSlot slot : slots) {
            if (matches(workload, slot)) {
                double missing =
                        workload.resources().shortfall(slot.description().capacity());
                if (missing == 0) {
                    return Optional.empty();
                }
                if (missing < least) {
                    least = missing;
                    nearest = slot;
                }
            }
        }
        if (nearest == null) {
            return Optional.of("its selector matches none of " + slots.size() + " workers");
        }
        return Optional.of("it needs " + workload.resources().describe() + ", and the nearest worker "
                + nearest.description().id() + " has "
                + nearest.description().capacity().describe() + " in all");
    }

    private static boolean fitsWhenIdle(Workload workload, WorkerSlot slot) {
        return matches(workload, slot)
                && workload.resources().fitsIn(slot.description().capacity());
    }

    private static boolean matches(Workload workload, WorkerSlot slot) {
        return workload.placement().workers().matches(slot.description().labels());
    }
}
