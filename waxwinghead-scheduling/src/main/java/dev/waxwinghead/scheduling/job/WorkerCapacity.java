package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the free capacity of a worker within one scheduling round. */
final class WorkerCapacity {
    /** The mean share of its processor request that a serving task uses; the rest is available to best-effort tasks. */
    private static final double SERVING_UTILISATION = 0.5;

    private final WorkerEntry entry;
    private final List<InterferenceControl.ResidentTask> residents;
    private final Map<String, Integer> servingTasksByImage = new HashMap<>();
    private final List<JobStep> arriving = new ArrayList<>();
    private final Map<JobId, Integer> suspectsByJob = new HashMap<>();
    private long freeMillicores;
    private long freeMemoryBytes;
    private long freeAccelerators;
    private double unusedMillicores;
    private long finiteMillicores;
    private long finiteMemoryBytes;
    private long finiteAccelerators;
    private int servingTasks;
    private int finiteTasks;
    private int position;
    private boolean changed;

    WorkerCapacity(WorkerEntry entry, List<InterferenceControl.ResidentTask> residents) {
        this.entry = entry;
        this.residents = residents;
        Resources capacity = entry.report().capacity();
        this.freeMillicores = capacity.millicores();
        this.freeMemoryBytes = capacity.memoryBytes();
        this.freeAccelerators = capacity.accelerators();
        this.unusedMillicores = capacity.millicores();
    }

    /** Records the worker's position among the workers of its service in the round. */
    void position(int index) {
        position = index;
    }

    int position() {
        return position;
    }

    WorkerEntry entry() {
        return entry;
    }

    List<InterferenceControl.ResidentTask> residents() {
        return residents;
    }

    /** Returns the best-effort tasks that were assigned to the worker and whose effect its gauges do not show yet. */
    List<JobStep> arriving() {
        return arriving;
    }

    /** Returns the share of the worker's serving tasks that run an image. */
    double shareOfImage(String image) {
        return servingTasks == 0 ? 0 : (double) servingTasksByImage.getOrDefault(image, 0) / servingTasks;
    }

    /** Returns the images of the worker's serving tasks. */
    Set<String> servingImages() {
        return servingTasksByImage.keySet();
    }

    int finiteTasks() {
        return finiteTasks;
    }

    /** Returns the free capacity, 0 of a resource of which more is reserved than is free. */
    FreeCapacity free() {
        return new FreeCapacity(
                entry.id(),
                Resources.of(Math.max(0, freeMillicores), Math.max(0, freeMemoryBytes), Math.max(0, freeAccelerators)));
    }

    long freeMillicores() {
        return freeMillicores;
    }

    double unusedMillicores() {
        return unusedMillicores;
    }

    /** Deducts a task that is assigned in this round, or that the worker has not listed for long. */
    void allocate(JobStep step) {
        changed = true;
        allocateSettled(step);
        if (step.bestEffort()) {
            arriving.add(step);
        }
    }

    /** Returns whether {@link #allocate} or {@link #release} was called. */
    boolean changed() {
        return changed;
    }

    /** Deducts a task whose effect the worker's gauges show. */
    void allocateSettled(JobStep step) {
        deduct(step, 1);
    }

    /** Gives back what {@link #allocate} deducted for a task that is not started. */
    void release(JobStep step) {
        changed = true;
        deduct(step, -1);
        if (step.bestEffort()) {
            arriving.remove(step);
        }
    }

    private void deduct(JobStep step, int tasks) {
        Resources need = step.need();
        freeMemoryBytes -= tasks * need.memoryBytes();
        freeAccelerators -= tasks * need.accelerators();
        if (!step.lasting()) {
            finiteTasks += tasks;
            finiteMemoryBytes += tasks * need.memoryBytes();
            finiteAccelerators += tasks * need.accelerators();
        }
        long millicores = tasks * need.millicores();
        if (step.bestEffort()) {
            unusedMillicores -= millicores;
            return;
        }
        freeMillicores -= millicores;
        finiteMillicores += step.lasting() ? 0 : millicores;
        unusedMillicores -= step.serves() ? SERVING_UTILISATION * millicores : millicores;
        if (step.serves()) {
            servingTasks += tasks;
            servingTasksByImage.merge(step.image(), tasks, Integer::sum);
        }
    }

    /** Records that the worker runs a task of a job under which a worker crashed and that may crash this one, too. */
    void addSuspectOf(JobId job) {
        suspectsByJob.merge(job, 1, Integer::sum);
    }

    /** Reverses {@link #addSuspectOf} for a task that is not started. */
    void removeSuspectOf(JobId job) {
        suspectsByJob.computeIfPresent(job, (id, suspects) -> suspects == 1 ? null : suspects - 1);
    }

    /** Returns whether the worker runs no suspect of another job; those of one job fail together. */
    boolean acceptsSuspectOf(JobId job) {
        return suspectsByJob.isEmpty() || (suspectsByJob.size() == 1 && suspectsByJob.containsKey(job));
    }

    /** Returns whether a task of a step would fit once all finite tasks on the worker have ended. */
    boolean fitsEventually(JobStep step) {
        Resources need = step.need();
        return need.millicores() <= freeMillicores + finiteMillicores
                && need.memoryBytes() <= freeMemoryBytes + finiteMemoryBytes
                && need.accelerators() <= freeAccelerators + finiteAccelerators;
    }

    /**
     * Returns how much is missing for a task of a step to fit, as the sum of the missing shares of each resource that
     * the task needs; 0 if it fits. Does not grow as long as capacity for the task is reserved on the worker.
     */
    double shortage(JobStep step) {
        Resources need = step.need();
        return shortage(need.millicores(), freeMillicores)
                + shortage(need.memoryBytes(), freeMemoryBytes)
                + shortage(need.accelerators(), freeAccelerators);
    }

    private static double shortage(long need, long free) {
        return (double) Math.max(0, need - free) / Math.max(1, need);
    }

    boolean fits(JobStep step) {
        Resources need = step.need();
        boolean memory = need.memoryBytes() <= freeMemoryBytes && need.accelerators() <= freeAccelerators;
        return memory && (step.bestEffort() || need.millicores() <= freeMillicores);
    }
}
