package dev.waxwinghead.scheduling.eviction;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the fewest and cheapest tasks of one worker that make room for another.
 *
 * @since 0.1
 */
public final class VictimChoice {
    private static final Comparator<Victim> CHEAPEST_FIRST = Comparator.comparing((Victim victim) -> !victim.borrowed())
            .thenComparingInt(Victim::priority)
            .thenComparingLong(Victim::lostWorkNanos)
            .thenComparing(Victim::task);

    private VictimChoice() {}

    /**
     * Chooses victims.
     *
     * @param need what the task needs
     * @param capacity what the worker has in all
     * @param committed what is committed there
     * @param candidates the tasks that may be chosen
     * @return the victims, empty if all candidates together do not make enough room
     */
    public static List<TaskId> choose(
            Resources need, Resources capacity, Resources committed, List<Victim> candidates) {
        List<Victim> cheapest = new ArrayList<>(candidates);
        cheapest.sort(CHEAPEST_FIRST);
        List<Victim> chosen = new ArrayList<>();
        Resources left = committed;
        for (Victim victim : cheapest) {
            if (left.plus(need).fitsIn(capacity)) {
                break;
            }
            left = left.minus(victim.resources());
            chosen.add(victim);
        }
        if (!left.plus(need).fitsIn(capacity)) {
            return List.of();
        }
        return withoutNeedless(need, capacity, left, chosen);
    }

    /** Spares those, dearest first, whose room is not needed after all. */
    private static List<TaskId> withoutNeedless(
            Resources need, Resources capacity, Resources left, List<Victim> chosen) {
        List<TaskId> needed = new ArrayList<>();
        Resources kept = left;
        for (int i = chosen.size() - 1; i >= 0; i--) {
            Resources spared = kept.plus(chosen.get(i).resources());
            if (spared.plus(need).fitsIn(capacity)) {
                kept = spared;
            } else {
                needed.add(chosen.get(i).task());
            }
        }
        return needed;
    }
}
