package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Chooses data centres for tasks by the capacity reports, counting what it has given out itself. */
final class DataCentreChoice {
    private final Map<DataCentreId, CapacityReport> reports = new TreeMap<>();
    private final Map<DataCentreId, Resources> given = new HashMap<>();

    private DataCentreChoice() {}

    static DataCentreChoice of(Collection<CapacityReport> reports) {
        DataCentreChoice choice = new DataCentreChoice();
        reports.forEach(report -> choice.reports.put(report.dataCentre(), report));
        return choice;
    }

    /** Tells whether any worker at all is known. */
    boolean knowsWorkers() {
        return reports.values().stream().anyMatch(report -> !report.groups().isEmpty());
    }

    /** Says why no idle worker could ever run a task, empty if one could. */
    Optional<String> impossible(OwnerRecord owner) {
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

    /**
     * Chooses a data centre for one task and counts it there.
     *
     * @param present how many tasks of the owner each data centre has already
     */
    Optional<DataCentreId> choose(OwnerRecord owner, Map<DataCentreId, Integer> present) {
        boolean spread = owner.placement().spreadOver() == Placement.Spread.DATA_CENTRE;
        Comparator<DataCentreId> order =
                Comparator.comparingInt(dataCentre -> spread ? -present.getOrDefault(dataCentre, 0) : 0);
        Optional<DataCentreId> chosen = reports.keySet().stream()
                .filter(dataCentre -> possible(owner, reports.get(dataCentre)))
                .max(order.thenComparingLong(dataCentre -> room(owner, dataCentre))
                        .thenComparing(Comparator.reverseOrder()));
        chosen.ifPresent(dataCentre -> given.merge(dataCentre, owner.resources(), Resources::plus));
        return chosen;
    }

    /** Returns about how many tasks of an owner have room in a data centre now. */
    long room(OwnerRecord owner, DataCentreId dataCentre) {
        Resources used = given.getOrDefault(dataCentre, Resources.NONE);
        long room = 0;
        CapacityReport report = reports.get(dataCentre);
        if (report == null) {
            return 0;
        }
        for (CapacityReport.Group group : report.groups()) {
            if (matches(owner, group) && owner.resources().fitsIn(group.capacity())) {
                room += slots(group.free(), owner.resources());
            }
        }
        return room - slots(used, owner.resources());
    }

    private static boolean possible(OwnerRecord owner, CapacityReport report) {
        return report.groups().stream()
                .anyMatch(group -> group.ready() > 0
                        && matches(owner, group)
                        && owner.resources().fitsIn(group.capacity()));
    }

    private static boolean matches(OwnerRecord owner, CapacityReport.Group group) {
        return owner.placement().workers().matches(group.labels());
    }

    private static long slots(Resources free, Resources need) {
        long slots = 100_000;
        slots = need.millicores() == 0 ? slots : Math.min(slots, free.millicores() / need.millicores());
        slots = need.memoryBytes() == 0 ? slots : Math.min(slots, free.memoryBytes() / need.memoryBytes());
        return need.accelerators() == 0 ? slots : Math.min(slots, free.accelerators() / need.accelerators());
    }

    private static CapacityReport.Group nearer(Resources need, CapacityReport.Group one, CapacityReport.Group other) {
        return one == null || need.shortfall(other.capacity()) < need.shortfall(one.capacity()) ? other : one;
    }
}
