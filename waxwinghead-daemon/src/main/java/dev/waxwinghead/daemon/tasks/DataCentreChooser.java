package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses data centres for tasks by capacity reports, less the resources of the tasks delegated since. A drained data
 * centre is never chosen.
 */
final class DataCentreChooser {
    private static final String DRAIN_REASON_PREFIX = "the workers that could run it are in drained data centres: ";

    private final Map<DataCentreId, CapacityReport> reports = new TreeMap<>();
    private final Map<DataCentreId, Resources> delegated = new HashMap<>();
    private final Set<DataCentreId> drained;

    private DataCentreChooser(Set<DataCentreId> drained) {
        this.drained = Set.copyOf(drained);
    }

    static DataCentreChooser of(Collection<CapacityReport> reports, Set<DataCentreId> drained) {
        DataCentreChooser chooser = new DataCentreChooser(drained);
        reports.forEach(report -> chooser.reports.put(report.dataCentre(), report));
        return chooser;
    }

    /** Returns whether any data centre has reported a worker. */
    boolean hasWorkers() {
        return reports.values().stream().anyMatch(report -> !report.groups().isEmpty());
    }

    /** Returns why no known worker could run a task of the owner even when idle, or empty if some worker could. */
    Optional<String> impossibilityReason(OwnerRecord owner) {
        CapacityReport.Group nearest = null;
        int workers = 0;
        for (CapacityReport report : reports.values()) {
            for (CapacityReport.Group group : report.groups()) {
                workers += group.workers();
                if (!matches(owner, group)) {
                    continue;
                }
                if (owner.resources().fitsIn(group.capacity())) {
                    return Optional.empty();
                }
                nearest = nearer(owner.resources(), nearest, group);
            }
        }
        if (nearest == null) {
            return Optional.of("its selector matches none of " + workers + " workers");
        }
        return Optional.of("it needs " + owner.resources().describe() + "; the nearest worker has "
                + nearest.capacity().describe() + " in all");
    }

    /** Returns why an owner that only workers of drained data centres could run waits, or empty for any other owner. */
    Optional<String> drainReason(OwnerRecord owner) {
        List<String> able = reports.keySet().stream()
                .filter(dataCentre -> canRun(owner, reports.get(dataCentre)))
                .filter(drained::contains)
                .map(DataCentreId::value)
                .toList();
        boolean runsElsewhere = reports.keySet().stream()
                .filter(dataCentre -> !drained.contains(dataCentre))
                .anyMatch(dataCentre -> canRun(owner, reports.get(dataCentre)));
        return able.isEmpty() || runsElsewhere
                ? Optional.empty()
                : Optional.of(DRAIN_REASON_PREFIX + String.join(", ", able));
    }

    /** Returns whether a reason is one of {@link #drainReason}. */
    static boolean isDrainReason(String reason) {
        return reason != null && reason.startsWith(DRAIN_REASON_PREFIX);
    }

    /**
     * Chooses a data centre for one task of an owner and deducts the task's resources from that data centre.
     *
     * @param present the number of the owner's live tasks in each data centre
     */
    Optional<DataCentreId> choose(OwnerRecord owner, Map<DataCentreId, Integer> present) {
        boolean spread = owner.placement().spreadOver() == Placement.Spread.DATA_CENTRE;
        Comparator<DataCentreId> fewestPresent =
                Comparator.comparingInt(dataCentre -> spread ? -present.getOrDefault(dataCentre, 0) : 0);
        Optional<DataCentreId> chosen = reports.keySet().stream()
                .filter(dataCentre -> !drained.contains(dataCentre))
                .filter(dataCentre -> canRun(owner, reports.get(dataCentre)))
                .max(fewestPresent
                        .thenComparingLong(dataCentre -> estimateFreeSlots(owner, dataCentre))
                        .thenComparing(Comparator.reverseOrder()));
        chosen.ifPresent(dataCentre -> delegated.merge(dataCentre, owner.resources(), Resources::plus));
        return chosen;
    }

    /**
     * Estimates how many more tasks of an owner fit into a data centre now; negative if more were delegated than fit,
     * and 0 if the data centre is drained.
     */
    long estimateFreeSlots(OwnerRecord owner, DataCentreId dataCentre) {
        Resources used = delegated.getOrDefault(dataCentre, Resources.NONE);
        long slots = 0;
        CapacityReport report = reports.get(dataCentre);
        if (report == null || drained.contains(dataCentre)) {
            return 0;
        }
        for (CapacityReport.Group group : report.groups()) {
            if (matches(owner, group) && owner.resources().fitsIn(group.capacity())) {
                slots += countSlots(group.free(), owner.resources());
            }
        }
        return slots - countSlots(used, owner.resources());
    }

    private static boolean canRun(OwnerRecord owner, CapacityReport report) {
        return report.groups().stream()
                .anyMatch(group -> group.ready() > 0
                        && matches(owner, group)
                        && owner.resources().fitsIn(group.capacity()));
    }

    private static boolean matches(OwnerRecord owner, CapacityReport.Group group) {
        return owner.placement().workers().matches(group.labels());
    }

    private static long countSlots(Resources free, Resources need) {
        long slots = 100_000;
        slots = need.millicores() == 0 ? slots : Math.min(slots, free.millicores() / need.millicores());
        slots = need.memoryBytes() == 0 ? slots : Math.min(slots, free.memoryBytes() / need.memoryBytes());
        return need.accelerators() == 0 ? slots : Math.min(slots, free.accelerators() / need.accelerators());
    }

    private static CapacityReport.Group nearer(Resources need, CapacityReport.Group best, CapacityReport.Group next) {
        return best == null || need.shortfall(next.capacity()) < need.shortfall(best.capacity()) ? next : best;
    }
}
