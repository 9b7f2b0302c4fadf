package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.resource.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what one worker still has room for, within one round of placement. */
final class WorkerRoom {
    /** The part of its processor request that a serving task uses on the mean; the rest is left to best effort. */
    private static final double SERVING_USE = 0.5;

    private final WorkerEntry entry;
    private final List<Interference.Resident> residents;
    private final Map<String, Integer> servingImages = new HashMap<>();
    private long freeMillicores;
    private long freeMemoryBytes;
    private long freeAccelerators;
    private double leftoverMillicores;
    private long endingMillicores;
    private int serving;

    WorkerRoom(WorkerEntry entry, List<Interference.Resident> residents) {
        this.entry = entry;
        this.residents = residents;
        Resources capacity = entry.report().capacity();
        this.freeMillicores = capacity.millicores();
        this.freeMemoryBytes = capacity.memoryBytes();
        this.freeAccelerators = capacity.accelerators();
        this.leftoverMillicores = capacity.millicores();
    }

    WorkerEntry entry() {
        return entry;
    }

    List<Interference.Resident> residents() {
        return residents;
    }

    /** Returns how many of its serving tasks run an image, as a share of all its serving tasks. */
    double shareOfImage(String image) {
        return serving == 0 ? 0 : (double) servingImages.getOrDefault(image, 0) / serving;
    }

    long freeMillicores() {
        return freeMillicores;
    }

    double leftoverMillicores() {
        return leftoverMillicores;
    }

    void take(JobStep step) {
        Resources need = step.need();
        freeMemoryBytes -= need.memoryBytes();
        freeAccelerators -= need.accelerators();
        if (step.bestEffort()) {
            leftoverMillicores -= need.millicores();
            return;
        }
        freeMillicores -= need.millicores();
        endingMillicores += step.lasting() ? 0 : need.millicores();
        leftoverMillicores -= step.serves() ? SERVING_USE * need.millicores() : need.millicores();
        if (step.serves()) {
            serving++;
            servingImages.merge(step.image(), 1, Integer::sum);
        }
    }

    /** Tells whether a step would fit once all tasks that end have ended. */
    boolean willFit(JobStep step) {
        return step.need().millicores() <= freeMillicores + endingMillicores;
    }

    boolean fits(JobStep step) {
        Resources need = step.need();
        boolean memory = need.memoryBytes() <= freeMemoryBytes && need.accelerators() <= freeAccelerators;
        return memory && (step.bestEffort() || need.millicores() <= freeMillicores);
    }
}
