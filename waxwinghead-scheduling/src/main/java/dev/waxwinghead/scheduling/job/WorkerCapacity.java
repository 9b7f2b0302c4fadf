package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.resource.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tracks the free capacity of a worker within one scheduling round. */
final class WorkerCapacity {
    /** The mean share of its processor request that a serving task uses; the rest is available to best-effort tasks. */
    private static final double SERVING_UTILISATION = 0.5;

    private final WorkerEntry entry;
    private final List<InterferenceControl.ResidentTask> residents;
    private final Map<String, Integer> servingTasksByImage = new HashMap<>();
    private long freeMillicores;
    private long freeMemoryBytes;
    private long freeAccelerators;
    private double unusedMillicores;
    private long finiteMillicores;
    private int servingTasks;

    WorkerCapacity(WorkerEntry entry, List<InterferenceControl.ResidentTask> residents) {
        this.entry = entry;
        this.residents = residents;
        Resources capacity = entry.report().capacity();
        this.freeMillicores = capacity.millicores();
        this.freeMemoryBytes = capacity.memoryBytes();
        this.freeAccelerators = capacity.accelerators();
        this.unusedMillicores = capacity.millicores();
    }

    WorkerEntry entry() {
        return entry;
    }

    List<InterferenceControl.ResidentTask> residents() {
        return residents;
    }

    /** Returns the share of the worker's serving tasks that run an image. */
    double shareOfImage(String image) {
        return servingTasks == 0 ? 0 : (double) servingTasksByImage.getOrDefault(image, 0) / servingTasks;
    }

    long freeMillicores() {
        return freeMillicores;
    }

    double unusedMillicores() {
        return unusedMillicores;
    }

    void allocate(JobStep step) {
        Resources need = step.need();
        freeMemoryBytes -= need.memoryBytes();
        freeAccelerators -= need.accelerators();
        if (step.bestEffort()) {
            unusedMillicores -= need.millicores();
            return;
        }
        freeMillicores -= need.millicores();
        finiteMillicores += step.lasting() ? 0 : need.millicores();
        unusedMillicores -= step.serves() ? SERVING_UTILISATION * need.millicores() : need.millicores();
        if (step.serves()) {
            servingTasks++;
            servingTasksByImage.merge(step.image(), 1, Integer::sum);
        }
    }

    /** Returns whether a task of a step would fit once all finite tasks on the worker have ended. */
    boolean fitsEventually(JobStep step) {
        return step.need().millicores() <= freeMillicores + finiteMillicores;
    }

    boolean fits(JobStep step) {
        Resources need = step.need();
        boolean memory = need.memoryBytes() <= freeMemoryBytes && need.accelerators() <= freeAccelerators;
        return memory && (step.bestEffort() || need.millicores() <= freeMillicores);
    }
}
