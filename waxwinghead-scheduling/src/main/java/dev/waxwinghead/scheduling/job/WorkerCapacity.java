package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
    private final Set<JobId> jobsOfSuspects = new HashSet<>();
    private long freeMillicores;
    private long freeMemoryBytes;
    private long freeAccelerators;
    private double unusedMillicores;
    private long finiteMillicores;
    private int servingTasks;
    private int finiteTasks;

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

    /** Returns the best-effort tasks that were assigned to the worker and whose effect its gauges do not show yet. */
    List<JobStep> arriving() {
        return arriving;
    }

    /** Returns the share of the worker's serving tasks that run an image. */
    double shareOfImage(String image) {
        return servingTasks == 0 ? 0 : (double) servingTasksByImage.getOrDefault(image, 0) / servingTasks;
    }

    int finiteTasks() {
        return finiteTasks;
    }

    long freeMillicores() {
        return freeMillicores;
    }

    double unusedMillicores() {
        return unusedMillicores;
    }

    /** Deducts a task that is assigned in this round, or that the worker has not listed for long. */
    void allocate(JobStep step) {
        allocateSettled(step);
        if (step.bestEffort()) {
            arriving.add(step);
        }
    }

    /** Deducts a task whose effect the worker's gauges show. */
    void allocateSettled(JobStep step) {
        Resources need = step.need();
        freeMemoryBytes -= need.memoryBytes();
        freeAccelerators -= need.accelerators();
        finiteTasks += step.lasting() ? 0 : 1;
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

    /** Records that the worker runs a task of a job under which a worker crashed and that may crash this one, too. */
    void addSuspectOf(JobId job) {
        jobsOfSuspects.add(job);
    }

    /** Returns whether the worker runs no suspect of another job; those of one job fail together. */
    boolean acceptsSuspectOf(JobId job) {
        return jobsOfSuspects.isEmpty() || (jobsOfSuspects.size() == 1 && jobsOfSuspects.contains(job));
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
