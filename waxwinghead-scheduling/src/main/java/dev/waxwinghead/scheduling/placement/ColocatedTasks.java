package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.label.Selector;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the tasks of each workload on one worker.
 *
 * <p>The expected latency of each service on the worker is cached between choices. The cache is recomputed after each
 * change of the tasks, and periodically because the model keeps learning.
 */
final class ColocatedTasks {
    private static final double NEGLIGIBLE_INCREASE = 0.02;
    private static final int READS_BEFORE_REFRESH = 64;

    private final Map<ManifestKey, Group> groups = new LinkedHashMap<>(8);
    private final List<Group> services = new ArrayList<>(2);
    private final Map<String, Group> batchClasses = new HashMap<>(8);
    private int exclusionRules;
    private int readsUntilRefresh;
    private double expectedMillicores;

    void add(Workload workload) {
        readsUntilRefresh = 0;
        Group group = groups.get(workload.owner());
        if (group != null) {
            group.count++;
        } else {
            group = new Group(workload);
            groups.put(workload.owner(), group);
            exclusionRules += workload.placement().notBeside() == null ? 0 : 1;
            if (workload.service()) {
                services.add(group);
            }
        }
        if (!workload.service()) {
            batchClasses.computeIfAbsent(workload.interferenceClass(), key -> Group.empty(workload)).count++;
        }
    }

    void remove(ManifestKey owner) {
        readsUntilRefresh = 0;
        Group group = groups.get(owner);
        if (group == null) {
            return;
        }
        if (--group.count == 0) {
            groups.remove(owner);
            services.remove(group);
            exclusionRules -= group.workload.placement().notBeside() == null ? 0 : 1;
        }
        if (!group.workload.service()) {
            batchClasses.computeIfPresent(
                    group.workload.interferenceClass(), (key, counted) -> --counted.count == 0 ? null : counted);
        }
    }

    int count(ManifestKey owner) {
        Group group = groups.get(owner);
        return group == null ? 0 : group.count;
    }

    boolean anyMatches(Selector selector) {
        for (Group group : groups.values()) {
            if (selector.matches(group.workload.labels())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a placement rule of a task on this worker excludes the candidate. */
    boolean anyExcludes(Workload candidate) {
        if (exclusionRules == 0) {
            return false;
        }
        for (Group group : groups.values()) {
            Selector excluded = group.workload.placement().notBeside();
            if (excluded != null && excluded.matches(candidate.labels())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the latency cost that the candidate would add. */
    double addedCost(Workload candidate, ColocationCostModel model) {
        refreshIfDue(model);
        if (candidate.service()) {
            return model.latencyCost(expectedLatency(candidate, model));
        }
        double sum = 0;
        for (Group service : services) {
            double after = service.expectedLatency + model.latencyIncrease(service.workload, candidate);
            sum += service.count * (model.latencyCost(after) - model.latencyCost(service.expectedLatency));
        }
        return sum;
    }

    /** Returns whether the latency of every service on this worker stays acceptable with the candidate. */
    boolean accepts(Workload candidate, ColocationCostModel model) {
        refreshIfDue(model);
        if (candidate.service()) {
            return true;
        }
        for (Group service : services) {
            double increase = model.latencyIncrease(service.workload, candidate);
            if (increase >= NEGLIGIBLE_INCREASE && !model.acceptsLatency(service.expectedLatency + increase)) {
                return false;
            }
        }
        return true;
    }

    double expectedMillicores(ColocationCostModel model) {
        refreshIfDue(model);
        return expectedMillicores;
    }

    private void refreshIfDue(ColocationCostModel model) {
        if (readsUntilRefresh-- > 0) {
            return;
        }
        readsUntilRefresh = READS_BEFORE_REFRESH;
        expectedMillicores = 0;
        for (Group group : groups.values()) {
            expectedMillicores += group.count * model.expectedMillicores(group.workload);
        }
        for (Group service : services) {
            service.expectedLatency = expectedLatency(service.workload, model);
        }
    }

    private double expectedLatency(Workload service, ColocationCostModel model) {
        double latency = model.baselineLatency(service);
        for (Group batch : batchClasses.values()) {
            latency += batch.count * model.latencyIncrease(service, batch.workload);
        }
        return latency;
    }

    private static final class Group {
        private final Workload workload;
        private int count = 1;
        private double expectedLatency;

        Group(Workload workload) {
            this.workload = workload;
        }

        static Group empty(Workload workload) {
            Group group = new Group(workload);
            group.count = 0;
            return group;
        }
    }
}
