package dev.waxwinghead.scheduling.eviction;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the tasks of one worker to evict so that another task fits.
 *
 * <p>Tasks are added from the cheapest to the most expensive until enough is free; those that turn out not to be needed
 * are then dropped, the most expensive first.
 *
 * @since 0.1
 */
public final class VictimSelector {
    private static final Comparator<Victim> CHEAPEST_FIRST = Comparator.comparing((Victim victim) -> !victim.borrowed())
            .thenComparingInt(Victim::priority)
            .thenComparingLong(Victim::lostWorkNanos)
            .thenComparing(Victim::task);

    private VictimSelector() {}

    /**
     * Returns the tasks to evict.
     *
     * @param need the resources of the task to be placed
     * @param capacity the total resources of the worker
     * @param committed the resources committed on the worker
     * @param candidates the tasks that may be evicted
     * @return the tasks to evict; empty if none need to be, or if evicting all candidates would not free enough
     */
    public static List<TaskId> choose(
            Resources need, Resources capacity, Resources committed, List<Victim> candidates) {
        List<Victim> cheapest = new ArrayList<>(candidates);
        cheapest.sort(CHEAPEST_FIRST);
        List<Victim> chosen = new ArrayList<>();
        Resources remaining = committed;
        for (Victim victim : cheapest) {
            if (remaining.plus(need).fitsIn(capacity)) {
                break;
            }
            remaining = remaining.minus(victim.resources());
            chosen.add(victim);
        }
        if (!remaining.plus(need).fitsIn(capacity)) {
            return List.of();
        }
        return dropUnneeded(need, capacity, remaining, chosen);
    }

    /** Returns the chosen tasks without those, checked from the most expensive, whose resources are not needed. */
    private static List<TaskId> dropUnneeded(
            Resources need, Resources capacity, Resources remaining, List<Victim> chosen) {
        List<TaskId> needed = new ArrayList<>();
        Resources kept = remaining;
        for (int i = chosen.size() - 1; i >= 0; i--) {
            Resources withCandidate = kept.plus(chosen.get(i).resources());
            if (withCandidate.plus(need).fitsIn(capacity)) {
                kept = withCandidate;
            } else {
                needed.add(chosen.get(i).task());
            }
        }
        return needed;
    }
}
