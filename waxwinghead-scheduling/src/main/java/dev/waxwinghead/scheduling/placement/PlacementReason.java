package dev.waxwinghead.scheduling.placement;

import java.util.List;
import java.util.Optional;

/** Explains why no worker can be chosen for a workload. */
final class PlacementReason {
    private PlacementReason() {}

    static String explain(Workload workload, List<WorkerSlot> slots) {
        Optional<String> never = impossibleReason(workload, slots);
        if (never.isPresent()) {
            return never.get();
        }
        long schedulable = slots.stream()
                .filter(WorkerSlot::schedulable)
                .filter(slot -> fitsCapacity(workload, slot))
                .count();
        if (schedulable == 0) {
            return "every worker that could run it is out of contact, draining or quarantined";
        }
        if (workload.placement().beside() != null) {
            return "no worker with room runs a task that 'beside' selects";
        }
        return "the workers that could run it have no room now, or run tasks that it may not share a worker with";
    }

    static Optional<String> impossibleReason(Workload workload, List<WorkerSlot> slots) {
        if (slots.isEmpty()) {
            return Optional.of("no worker has announced itself");
        }
        WorkerSlot closest = null;
        double smallestShortfall = Double.POSITIVE_INFINITY;
        for (WorkerSlot slot : slots) {
            if (matches(workload, slot)) {
                double shortfall =
                        workload.resources().shortfall(slot.description().capacity());
                if (shortfall == 0) {
                    return Optional.empty();
                }
                if (shortfall < smallestShortfall) {
                    smallestShortfall = shortfall;
                    closest = slot;
                }
            }
        }
        if (closest == null) {
            return Optional.of("its selector matches none of " + slots.size() + " workers");
        }
        return Optional.of("it needs " + workload.resources().describe() + ", and the nearest worker "
                + closest.description().id() + " has "
                + closest.description().capacity().describe() + " in all");
    }

    private static boolean fitsCapacity(Workload workload, WorkerSlot slot) {
        return matches(workload, slot)
                && workload.resources().fitsIn(slot.description().capacity());
    }

    private static boolean matches(Workload workload, WorkerSlot slot) {
        return workload.placement().workers().matches(slot.description().labels());
    }
}
