package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The complete contents of a {@link TaskTable}, for snapshots.
 *
 * @param configurationRevision the configuration revision that the owners reflect
 * @param tasks all tasks
 * @param owners all services and jobs
 * @param schedulers the scheduler terms of all data centres
 * @param draining the draining workers, with the newest incarnation to which the drain applies
 * @param attemptFloors the highest attempt numbers of recently removed owners, oldest first
 * @param attemptFloor the highest attempt number of all other removed owners
 * @param drainedDataCentres the drained data centres, with the log index of the command that drained each
 * @param drainChanges the latest drains and their reverts, oldest first
 * @since 0.1
 */
public record TableContents(
        long configurationRevision,
        List<TaskRecord> tasks,
        List<OwnerRecord> owners,
        List<SchedulerTerm> schedulers,
        Map<WorkerId, Long> draining,
        Map<ManifestKey, Integer> attemptFloors,
        int attemptFloor,
        Map<DataCentreId, Long> drainedDataCentres,
        List<DrainChange> drainChanges) {
    static TableContents of(
            long configurationRevision,
            Collection<TaskRecord> tasks,
            Collection<OwnerRecord> owners,
            Collection<SchedulerTerm> schedulers,
            Map<WorkerId, Long> draining,
            Map<ManifestKey, Integer> attemptFloors,
            int attemptFloor,
            Map<DataCentreId, Long> drainedDataCentres,
            Collection<DrainChange> drainChanges) {
        return new TableContents(
                configurationRevision,
                List.copyOf(tasks),
                List.copyOf(owners),
                List.copyOf(schedulers),
                Map.copyOf(draining),
                Collections.unmodifiableMap(new LinkedHashMap<>(attemptFloors)),
                attemptFloor,
                Map.copyOf(drainedDataCentres),
                List.copyOf(drainChanges));
    }
}
