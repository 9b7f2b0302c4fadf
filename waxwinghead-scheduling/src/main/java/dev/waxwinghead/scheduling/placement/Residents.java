package dev.waxwinghead.scheduling.placement;

import dev.waxwinghead.model.label.Selector;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.ArrayList;
import java.util.List;

/** Counts the tasks of each workload on one worker. */
final class Residents {
    private static final double NEGLIGIBLE_RISE = 0.02;

    private final List<Group> groups = new ArrayList<>(4);

    void add(Workload workload) {
        Group group = find(workload.owner());
        if (group == null) {
            groups.add(new Group(workload));
        } else {
            group.count++;
        }
    }

    void remove(ManifestKey owner) {
        Group group = find(owner);
        if (group != null && --group.count == 0) {
            groups.remove(group);
        }
    }

    int count(ManifestKey owner) {
        Group group = find(owner);
        return group == null ? 0 : group.count;
    }

    boolean anyMatches(Selector selector) {
        for (Group group : groups) {
            if (selector.matches(group.workload.labels())) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether a rule of a resident forbids the newcomer. */
    boolean anyForbids(Workload newcomer) {
        for (Group group : groups) {
            Selector forbidden = group.workload.placement().notBeside();
            if (forbidden != null && forbidden.matches(newcomer.labels())) {
                return true;
            }
        }
        return false;
    }

    /** Returns the harm that a newcomer adds. */
    double harm(Workload newcomer, HarmModel model) {
        if (newcomer.service()) {
            return model.harm(latency(newcomer, model));
        }
        double sum = 0;
        for (Group group : groups) {
            if (group.workload.service()) {
                double before = latency(group.workload, model);
                double after = before + model.rise(group.workload, newcomer);
                sum += group.count * (model.harm(after) - model.harm(before));
            }
        }
        return sum;
    }

    /** Tells whether every service here stays quick enough beside a newcomer. */
    boolean accepts(Workload newcomer, HarmModel model) {
        if (newcomer.service()) {
            return true;
        }
        for (Group group : groups) {
            if (group.workload.service()) {
                double rise = model.rise(group.workload, newcomer);
                if (rise >= NEGLIGIBLE_RISE && !model.acceptable(latency(group.workload, model) + rise)) {
                    return false;
                }
            }
        }
        return true;
    }

    private double latency(Workload service, HarmModel model) {
        double latency = model.alone(service);
        for (Group group : groups) {
            if (!group.workload.service()) {
                latency += group.count * model.rise(service, group.workload);
            }
        }
        return latency;
    }

    double expectedMillicores(HarmModel model) {
        double sum = 0;
        for (Group group : groups) {
            sum += group.count * model.expectedMillicores(group.workload);
        }
        return sum;
    }

    private Group find(ManifestKey owner) {
        for (Group group : groups) {
            if (group.workload.owner().equals(owner)) {
                return group;
            }
        }
        return null;
    }

    private static final class Group {
        private final Workload workload;
        private int count = 1;

        Group(Workload workload) {
            this.workload = workload;
        }
    }
}
