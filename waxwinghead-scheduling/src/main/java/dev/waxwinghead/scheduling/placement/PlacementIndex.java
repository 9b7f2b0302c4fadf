package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Indexes the workers of one data centre by what is free on them, and chooses among them.
 *
 * <p>Commitments are exact: a task counts from {@link #commit} to {@link #release}, and no choice ever goes past a
 * worker's capacity, also after a worker announced itself with less than it holds. Used by one thread at a time.
 *
 * @since 0.1
 */
public final class PlacementIndex {
    /** How many workers are scored by expected harm for one choice. */
    private static final int MAX_SCORED = 64;

    /** How many are scored where more fit than {@link #MAX_SCORED}. */
    private static final int SAMPLE = 24;

    private static final int INITIAL_SLOTS = 64;
    private static final int ROTATION_MASK = 0xffff;

    private final Map<WorkerId, Integer> slotOf = new HashMap<>();
    private final List<WorkerSlot> slots = new ArrayList<>();
    private final SelectorCache selectors = new SelectorCache();
    private final SpreadCounts spread = new SpreadCounts();
    private final WorkerScore score;
    private long[] freeMillicores = new long[INITIAL_SLOTS];
    private long[] freeMemoryBytes = new long[INITIAL_SLOTS];
    private long[] freeAccelerators = new long[INITIAL_SLOTS];
    private int[] candidates = new int[INITIAL_SLOTS];
    private int rotation;

    private PlacementIndex(WorkerScore score) {
        this.score = score;
    }

    /**
     * Returns an empty index.
     *
     * @param score rates the workers that would do
     * @return the index, never null
     */
    public static PlacementIndex create(WorkerScore score) {
        return new PlacementIndex(score);
    }

    /**
     * Adds a worker, or replaces what is known of it; its commitments stay.
     *
     * @param description the worker as it announced itself
     */
    public void describe(WorkerDescription description) {
        Integer known = slotOf.get(description.id());
        int slot = known == null ? add(description) : known;
        WorkerDescription before = slots.get(slot).description();
        slots.get(slot).describe(description);
        if (known == null || !before.labels().equals(description.labels())) {
            selectors.update(slot, description.labels());
        }
        refresh(slot);
    }

    /**
     * Sets whether a worker takes new tasks.
     *
     * @param worker a worker of the index
     * @param open whether it does
     */
    public void open(WorkerId worker, boolean open) {
        int slot = slotOf.get(worker);
        if (slots.get(slot).open() != open) {
            slots.get(slot).open(open);
            refresh(slot);
        }
    }

    /**
     * Sets whether the filter of a choice is asked about a worker.
     *
     * @param worker a worker of the index
     * @param restricted whether it is
     */
    public void restrict(WorkerId worker, boolean restricted) {
        slots.get(slotOf.get(worker)).restricted(restricted);
    }

    /**
     * Counts a task against a worker.
     *
     * @param worker a worker of the index
     * @param workload what the task is
     * @param resources what it holds
     */
    public void commit(WorkerId worker, Workload workload, Resources resources) {
        int slot = slotOf.get(worker);
        slots.get(slot).commit(workload, resources);
        spread.add(workload.owner(), slots.get(slot).description().rack(), 1);
        refresh(slot);
    }

    /**
     * Takes a task's count back.
     *
     * @param worker a worker of the index
     * @param workload what the task was
     * @param resources what it held
     */
    public void release(WorkerId worker, Workload workload, Resources resources) {
        int slot = slotOf.get(worker);
        slots.get(slot).release(workload, resources);
        spread.add(workload.owner(), slots.get(slot).description().rack(), -1);
        refresh(slot);
    }

    /**
     * Tells whether a worker is known.
     *
     * @param worker the worker
     * @return true once it was described
     */
    public boolean contains(WorkerId worker) {
        return slotOf.containsKey(worker);
    }

    /**
     * Returns what is committed on a worker.
     *
     * @param worker a worker of the index
     * @return the exact sum, never null
     */
    public Resources committed(WorkerId worker) {
        return slots.get(slotOf.get(worker)).committed();
    }

    /**
     * Chooses a worker for a task. Nothing is committed by this.
     *
     * @param workload what the task is
     * @param allowed asked about restricted workers only
     * @param avoided workers that are chosen only if no other will do
     * @param insists whether the task is placed even where it slows services down
     * @return the choice, or why there is none
     */
    public PlacementDecision choose(
            Workload workload, Predicate<WorkerId> allowed, Set<WorkerId> avoided, boolean insists) {
        int found = collect(workload, allowed);
        if (found == 0) {
            return PlacementDecision.refused(PlacementReason.explain(workload, slots));
        }
        int preferred = avoided.isEmpty() ? found : keepUnlessAvoided(found, avoided);
        int evenest = keepLeastUsed(preferred == 0 ? found : preferred, workload);
        int best = best(evenest, workload, insists);
        return best < 0
                ? PlacementDecision.held()
                : PlacementDecision.on(slots.get(best).description().id());
    }

    /**
     * Returns workers that could run a workload if other tasks made room.
     *
     * @param workload the workload
     * @param allowed asked about restricted workers only
     * @param most the most to return
     * @return some of the workers, starting elsewhere each time
     */
    public List<WorkerId> withRoomWhenIdle(Workload workload, Predicate<WorkerId> allowed, int most) {
        BitSet matching = selectors.matches(workload.placement().workers(), slots);
        List<WorkerId> found = new ArrayList<>();
        rotation = (rotation + 1) & ROTATION_MASK;
        for (int i = 0; i < slots.size() && found.size() < most; i++) {
            int at = (i + rotation) % slots.size();
            WorkerSlot slot = slots.get(at);
            boolean fits = workload.resources().fitsIn(slot.description().capacity());
            if (slot.open() && matching.get(at) && fits && admits(slot, workload, allowed)) {
                found.add(slot.description().id());
            }
        }
        return found;
    }

    /**
     * Explains why a workload could never run on the workers known, however idle they were.
     *
     * @param workload the workload
     * @return the reason, empty if some worker could run it
     */
    public Optional<String> impossible(Workload workload) {
        return PlacementReason.impossible(workload, slots);
    }

    private int add(WorkerDescription description) {
        int slot = slots.size();
        slots.add(new WorkerSlot(description));
        slotOf.put(description.id(), slot);
        if (slot == freeMillicores.length) {
            freeMillicores = Arrays.copyOf(freeMillicores, 2 * slot);
            freeMemoryBytes = Arrays.copyOf(freeMemoryBytes, 2 * slot);
            freeAccelerators = Arrays.copyOf(freeAccelerators, 2 * slot);
            candidates = new int[2 * slot];
        }
        return slot;
    }

    private void refresh(int index) {
        WorkerSlot slot = slots.get(index);
        Resources capacity = slot.description().capacity();
        Resources committed = slot.committed();
        freeMillicores[index] = slot.open() ? capacity.millicores() - committed.millicores() : Long.MIN_VALUE;
        freeMemoryBytes[index] = capacity.memoryBytes() - committed.memoryBytes();
        freeAccelerators[index] = capacity.accelerators() - committed.accelerators();
    }

    private int collect(Workload workload, Predicate<WorkerId> allowed) {
        Resources need = workload.resources();
        BitSet matching = selectors.matches(workload.placement().workers(), slots);
        int found = 0;
        for (int i = 0; i < slots.size(); i++) {
            boolean fits = freeMillicores[i] >= need.millicores()
                    && freeMemoryBytes[i] >= need.memoryBytes()
                    && freeAccelerators[i] >= need.accelerators();
            if (fits && matching.get(i) && admits(slots.get(i), workload, allowed)) {
                candidates[found++] = i;
            }
        }
        return found;
    }

    private static boolean admits(WorkerSlot slot, Workload workload, Predicate<WorkerId> allowed) {
        return (!slot.restricted() || allowed.test(slot.description().id())) && mayShare(slot.residents(), workload);
    }

    private static boolean mayShare(Residents residents, Workload workload) {
        return (workload.placement().beside() == null
                        || residents.anyMatches(workload.placement().beside()))
                && (workload.placement().notBeside() == null
                        || !residents.anyMatches(workload.placement().notBeside()))
                && !residents.anyForbids(workload);
    }

    private int keepUnlessAvoided(int found, Set<WorkerId> avoided) {
        int kept = 0;
        for (int i = 0; i < found; i++) {
            if (!avoided.contains(slots.get(candidates[i]).description().id())) {
                int swapped = candidates[kept];
                candidates[kept++] = candidates[i];
                candidates[i] = swapped;
            }
        }
        return kept;
    }

    private int keepLeastUsed(int found, Workload workload) {
        Placement.Spread spreadOver = workload.placement().spreadOver();
        if (spreadOver == Placement.Spread.NONE || spreadOver == Placement.Spread.DATA_CENTRE) {
            return found;
        }
        int least = Integer.MAX_VALUE;
        int kept = 0;
        for (int i = 0; i < found; i++) {
            int used = used(slots.get(candidates[i]), workload);
            if (used < least) {
                least = used;
                kept = 0;
            }
            if (used == least) {
                candidates[kept++] = candidates[i];
            }
        }
        return kept;
    }

    private int used(WorkerSlot slot, Workload workload) {
        return switch (workload.placement().spreadOver()) {
            case NONE, DATA_CENTRE -> 0;
            case WORKER -> slot.residents().count(workload.owner());
            case RACK -> spread.onRack(workload.owner(), slot.description().rack());
        };
    }

    /**
     * Scores all candidates if they are few, else an even sample that starts elsewhere each time; -1 if none will do.
     */
    private int best(int found, Workload workload, boolean insists) {
        int scored = score.sampled() && found > MAX_SCORED ? SAMPLE : found;
        int best = -1;
        double least = Double.POSITIVE_INFINITY;
        rotation = (rotation + 1) & ROTATION_MASK;
        for (int i = 0; i < scored; i++) {
            int at = found == scored ? i : (int) (((long) i * found / scored + rotation) % found);
            int candidate = candidates[at];
            if (!insists && !score.accepts(slots.get(candidate), workload)) {
                continue;
            }
            double value = score.of(slots.get(candidate), workload);
            if (value < least) {
                least = value;
                best = candidate;
            }
        }
        return best;
    }
}
