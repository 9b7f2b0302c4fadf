package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.List;

/** Holds the workers of drained data centres in one scheduling round, to tell which tasks wait for an undrain. */
final class DrainedWorkers {
    private final List<WorkerEntry> workers = new ArrayList<>();

    void add(WorkerEntry worker) {
        workers.add(worker);
    }

    /**
     * Returns whether only workers of drained data centres could ever run a task of a step. A worker elsewhere that is
     * merely full is one that could, so that its task waits for capacity and not for an undrain.
     *
     * @param others the workers of the service in other data centres
     */
    boolean onlyOnesFor(ServiceName service, JobStep step, List<WorkerCapacity> others) {
        return workers.stream()
                        .anyMatch(worker -> worker.report().service().equals(service) && couldEverRun(worker, step))
                && others.stream().noneMatch(other -> couldEverRun(other.entry(), step));
    }

    private static boolean couldEverRun(WorkerEntry worker, JobStep step) {
        Resources capacity = worker.report().capacity();
        Resources need = step.need();
        boolean labelled =
                step.requiredLabel().isEmpty() || worker.report().labels().contains(step.requiredLabel());
        return labelled
                && need.millicores() <= capacity.millicores()
                && need.memoryBytes() <= capacity.memoryBytes()
                && need.accelerators() <= capacity.accelerators();
    }
}
