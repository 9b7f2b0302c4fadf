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
 * <p>The expected latency of each service here is kept between choices, and computed anew after a change and now and
 * then, since the model goes on learning.
 */
final class Residents {
    private static final double NEGLIGIBLE_RISE = 0.02;
    private static final int USES_BEFORE_REFRESH = 64;

    private final Map<ManifestKey, Group> groups = new LinkedHashMap<>(8);
    private final List<Group> services = new ArrayList<>(2);
    private final Map<String, Group> batchClasses = new HashMap<>(8);
    private int forbidding;
    private int usesLeft;
    private double expectedMillicores;

    void add(Workload workload) {
        usesLeft = 0;
        Group group = groups.get(workload.owner());
        if (group != null) {
            group.count++;
        } else {
            group = new Group(workload);
            groups.put(workload.owner(), group);
            forbidding += workload.placement().notBeside() == null ? 0 : 1;
            if (workload.service()) {
                services.add(group);
            }
        }
        if (!workload.service()) {
            batchClasses.computeIfAbsent(workload.interferenceClass(), key -> Group.empty(workload)).count++;
        }
    }

    void remove(ManifestKey owner) {
        usesLeft = 0;
        Group group = groups.get(owner);
        if (group == null) {
            return;
        }
        if (--group.count == 0) {
            groups.remove(owner);
            services.remove(group);
            forbidding -= group.workload.placement().notBeside() == null ? 0 : 1;
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

    /** Tells whether a rule of a resident forbids the newcomer. */
    boolean anyForbids(Workload newcomer) {
        if (forbidding == 0) {
            return false;
        }
        for (Group group : groups.values()) {
            Selector forbidden = group.workload.placement().notBeside();
            if (forbidden != null && forbidden.matches(newcomer.labels())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the harm that a newcomer adds. */
    double harm(Workload newcomer, HarmModel model) {
        refreshIfDue(model);
        if (newcomer.service()) {
            return model.harm(latency(newcomer, model));
        }
        double sum = 0;
        for (Group service : services) {
            double after = service.latency + model.rise(service.workload, newcomer);
            sum += service.count * (model.harm(after) - model.harm(service.latency));
        }
        return sum;
    }

    /** Tells whether every service here stays quick enough beside a newcomer. */
    boolean accepts(Workload newcomer, HarmModel model) {
        refreshIfDue(model);
        if (newcomer.service()) {
            return true;
        }
        for (Group service : services) {
            double rise = model.rise(service.workload, newcomer);
            if (rise >= NEGLIGIBLE_RISE && !model.acceptable(service.latency + rise)) {
                return false;
            }
        }
        return true;
    }

    double expectedMillicores(HarmModel model) {
        refreshIfDue(model);
        return expectedMillicores;
    }

    private void refreshIfDue(HarmModel model) {
        if (usesLeft-- > 0) {
            return;
        }
        usesLeft = USES_BEFORE_REFRESH;
        expectedMillicores = 0;
        for (Group group : groups.values()) {
            expectedMillicores += group.count * model.expectedMillicores(group.workload);
        }
        for (Group service : services) {
            service.latency = latency(service.workload, model);
        }
    }

    private double latency(Workload service, HarmModel model) {
        double latency = model.alone(service);
        for (Group batch : batchClasses.values()) {
            latency += batch.count * model.rise(service, batch.workload);
        }
        return latency;
    }

    private static final class Group {
        private final Workload workload;
        private int count = 1;
        private double latency;

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
