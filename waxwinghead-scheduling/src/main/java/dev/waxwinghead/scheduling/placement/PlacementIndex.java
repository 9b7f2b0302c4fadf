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
 * Index of the workers of one data centre by their free resources, which chooses workers for tasks.
 *
 * <p>The resources of a task count against its worker from {@link #commit} to {@link #release}. No choice exceeds the
 * capacity of a worker, even if the worker has announced less capacity than is already committed. Not thread-safe.
 *
 * @since 0.1
 */
public final class PlacementIndex {
    /** The maximum number of fitting workers that are scored without sampling, if the score allows sampling. */
    private static final int MAX_SCORED = 64;

    /** The number of workers scored if more than {@link #MAX_SCORED} fit. */
    private static final int SAMPLE_SIZE = 24;

    private static final int INITIAL_SLOTS = 64;
    private static final int ROTATION_MASK = 0xffff;

    private final Map<WorkerId, Integer> slotByWorker = new HashMap<>();
    private final List<WorkerSlot> slots = new ArrayList<>();
    private final SelectorCache selectors = new SelectorCache();
    private final SpreadCounts spreadCounts = new SpreadCounts();
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
     * Creates an empty index.
     *
     * @param score the score that ranks the workers with enough free resources
     * @return the new index, never null
     */
    public static PlacementIndex create(WorkerScore score) {
        return new PlacementIndex(score);
    }

    /**
     * Adds a worker, or replaces its description and keeps its commitments.
     *
     * @param description the description that the worker announced
     */
    public void putWorker(WorkerDescription description) {
        Integer known = slotByWorker.get(description.id());
        int slot = known == null ? add(description) : known;
        WorkerDescription before = slots.get(slot).description();
        slots.get(slot).update(description);
        if (known == null || !before.labels().equals(description.labels())) {
            selectors.update(slot, description.labels());
        }
        updateFreeResources(slot);
    }

    /**
     * Sets whether a worker takes new tasks.
     *
     * @param worker a worker of the index
     * @param schedulable whether the worker takes new tasks
     */
    public void setSchedulable(WorkerId worker, boolean schedulable) {
        int slot = slotByWorker.get(worker);
        if (slots.get(slot).schedulable() != schedulable) {
            slots.get(slot).schedulable(schedulable);
            updateFreeResources(slot);
        }
    }

    /**
     * Sets whether a worker may only be chosen for tasks that the caller's filter accepts.
     *
     * @param worker a worker of the index
     * @param restricted whether the filter applies to the worker
     */
    public void setRestricted(WorkerId worker, boolean restricted) {
        slots.get(slotByWorker.get(worker)).restricted(restricted);
    }

    /**
     * Commits the resources of a task on a worker.
     *
     * @param worker a worker of the index
     * @param workload the workload of the task
     * @param resources the resources of the task
     */
    public void commit(WorkerId worker, Workload workload, Resources resources) {
        int slot = slotByWorker.get(worker);
        slots.get(slot).commit(workload, resources);
        spreadCounts.add(workload.owner(), slots.get(slot).description().rack(), 1);
        updateFreeResources(slot);
    }

    /**
     * Releases the resources of a task that {@link #commit} committed.
     *
     * @param worker a worker of the index
     * @param workload the workload of the task
     * @param resources the resources that were committed
     */
    public void release(WorkerId worker, Workload workload, Resources resources) {
        int slot = slotByWorker.get(worker);
        slots.get(slot).release(workload, resources);
        spreadCounts.add(workload.owner(), slots.get(slot).description().rack(), -1);
        updateFreeResources(slot);
    }

    /**
     * Returns whether the index contains a worker.
     *
     * @param worker the worker
     * @return true once the worker has been added
     */
    public boolean contains(WorkerId worker) {
        return slotByWorker.containsKey(worker);
    }

    /**
     * Returns the resources committed on a worker.
     *
     * @param worker a worker of the index
     * @return the sum over all committed tasks, never null
     */
    public Resources committed(WorkerId worker) {
        return slots.get(slotByWorker.get(worker)).committed();
    }

    /**
     * Chooses a worker for a task without committing resources.
     *
     * @param workload the workload of the task
     * @param allowed the filter for restricted workers; not applied to others
     * @param avoided the workers to choose only if no other fits
     * @param ignoresLatencyLimit whether the task may be placed where it slows services down
     * @return the chosen worker or the reason why there is none, never null
     */
    public PlacementDecision choose(
            Workload workload, Predicate<WorkerId> allowed, Set<WorkerId> avoided, boolean ignoresLatencyLimit) {
        int found = collectCandidates(workload, allowed);
        if (found == 0) {
            return PlacementDecision.refused(PlacementReason.explain(workload, slots));
        }
        int preferred = avoided.isEmpty() ? found : moveAvoidedLast(found, avoided);
        int mostEvenlySpread = keepMostEvenlySpread(preferred == 0 ? found : preferred, workload);
        int best = bestCandidate(mostEvenlySpread, workload, ignoresLatencyLimit);
        return best < 0
                ? PlacementDecision.deferred()
                : PlacementDecision.placedOn(slots.get(best).description().id());
    }

    /**
     * Returns workers with enough total capacity for a workload, whether or not that capacity is free.
     *
     * @param workload the workload
     * @param allowed the filter for restricted workers; not applied to others
     * @param limit the maximum number of workers to return
     * @return the workers, starting at another position of the index on each call; never null
     */
    public List<WorkerId> workersWithCapacity(Workload workload, Predicate<WorkerId> allowed, int limit) {
        BitSet matching = selectors.matches(workload.placement().workers(), slots);
        List<WorkerId> found = new ArrayList<>();
        rotation = (rotation + 1) & ROTATION_MASK;
        for (int i = 0; i < slots.size() && found.size() < limit; i++) {
            int at = (i + rotation) % slots.size();
            WorkerSlot slot = slots.get(at);
            boolean fits = workload.resources().fitsIn(slot.description().capacity());
            if (slot.schedulable() && matching.get(at) && fits && admits(slot, workload, allowed)) {
                found.add(slot.description().id());
            }
        }
        return found;
    }

    /**
     * Returns why a workload could not run on any known worker, even if all workers were idle.
     *
     * @param workload the workload
     * @return the reason; empty if some worker could run the workload
     */
    public Optional<String> impossibleReason(Workload workload) {
        return PlacementReason.impossibleReason(workload, slots);
    }

    private int add(WorkerDescription description) {
        int slot = slots.size();
        slots.add(new WorkerSlot(description));
        slotByWorker.put(description.id(), slot);
        if (slot == freeMillicores.length) {
            freeMillicores = Arrays.copyOf(freeMillicores, 2 * slot);
            freeMemoryBytes = Arrays.copyOf(freeMemoryBytes, 2 * slot);
            freeAccelerators = Arrays.copyOf(freeAccelerators, 2 * slot);
            candidates = new int[2 * slot];
        }
        return slot;
    }

    private void updateFreeResources(int index) {
        WorkerSlot slot = slots.get(index);
        Resources capacity = slot.description().capacity();
        Resources committed = slot.committed();
        freeMillicores[index] = slot.schedulable() ? capacity.millicores() - committed.millicores() : Long.MIN_VALUE;
        freeMemoryBytes[index] = capacity.memoryBytes() - committed.memoryBytes();
        freeAccelerators[index] = capacity.accelerators() - committed.accelerators();
    }

    private int collectCandidates(Workload workload, Predicate<WorkerId> allowed) {
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
        return (!slot.restricted() || allowed.test(slot.description().id())) && mayColocate(slot.tasks(), workload);
    }

    private static boolean mayColocate(ColocatedTasks colocated, Workload workload) {
        return (workload.placement().beside() == null
                        || colocated.anyMatches(workload.placement().beside()))
                && (workload.placement().notBeside() == null
                        || !colocated.anyMatches(workload.placement().notBeside()))
                && !colocated.anyExcludes(workload);
    }

    private int moveAvoidedLast(int found, Set<WorkerId> avoided) {
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

    private int keepMostEvenlySpread(int found, Workload workload) {
        Placement.Spread spreadOver = workload.placement().spreadOver();
        if (spreadOver == Placement.Spread.NONE || spreadOver == Placement.Spread.DATA_CENTRE) {
            return found;
        }
        int fewest = Integer.MAX_VALUE;
        int kept = 0;
        for (int i = 0; i < found; i++) {
            int tasks = ownerTasks(slots.get(candidates[i]), workload);
            if (tasks < fewest) {
                fewest = tasks;
                kept = 0;
            }
            if (tasks == fewest) {
                candidates[kept++] = candidates[i];
            }
        }
        return kept;
    }

    private int ownerTasks(WorkerSlot slot, Workload workload) {
        return switch (workload.placement().spreadOver()) {
            case NONE, DATA_CENTRE -> 0;
            case WORKER -> slot.tasks().count(workload.owner());
            case RACK ->
                spreadCounts.onRack(workload.owner(), slot.description().rack());
        };
    }

    /**
     * Returns the candidate with the lowest score, or -1 if the score accepts none. Of many candidates, only an evenly
     * spaced sample is scored, which starts at another position on each call.
     */
    private int bestCandidate(int found, Workload workload, boolean ignoresLatencyLimit) {
        int scored = score.allowsSampling() && found > MAX_SCORED ? SAMPLE_SIZE : found;
        int best = -1;
        double lowest = Double.POSITIVE_INFINITY;
        rotation = (rotation + 1) & ROTATION_MASK;
        for (int i = 0; i < scored; i++) {
            int at = found == scored ? i : (int) (((long) i * found / scored + rotation) % found);
            int candidate = candidates[at];
            if (!ignoresLatencyLimit && !score.accepts(slots.get(candidate), workload)) {
                continue;
            }
            double current = score.of(slots.get(candidate), workload);
            if (current < lowest) {
                lowest = current;
                best = candidate;
            }
        }
        return best;
    }
}
