package dev.waxwinghead.cli.check;

import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.label.Requirement;
import dev.waxwinghead.model.label.Selector;
import dev.waxwinghead.model.label.SelectorOperator;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.manifest.ObjectiveManifest;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.manifest.QuotaManifest;
import dev.waxwinghead.model.manifest.ServiceManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds manifests that are valid one by one and can't have the intended effect together.
 *
 * @since 0.2
 */
public final class ConfigurationCheck {
    private static final String OBJECTIVE_IN_FORCE = "default";

    private final Map<ManifestKey, Manifest> merged;
    private final boolean complete;
    private final List<Finding> findings = new ArrayList<>();

    private ConfigurationCheck(Map<ManifestKey, Manifest> merged, boolean complete) {
        this.merged = merged;
        this.complete = complete;
    }

    /**
     * Checks manifests without knowing what is in force. References to other manifests are not checked, since these may
     * be in force already.
     *
     * @param text the manifests
     * @return the faults in the order of their lines, never null
     */
    public static List<Finding> check(ManifestText text) {
        return check(text, Map.of(), false);
    }

    /**
     * Checks manifests as if they were applied to the configuration in force.
     *
     * @param text the manifests
     * @param inForce the manifests in force by their keys
     * @return the faults of the manifests in the text, in the order of their lines; never null
     */
    public static List<Finding> check(ManifestText text, Map<ManifestKey, Manifest> inForce) {
        return check(text, inForce, true);
    }

    private static List<Finding> check(ManifestText text, Map<ManifestKey, Manifest> inForce, boolean complete) {
        Map<ManifestKey, Manifest> merged = new HashMap<>(inForce);
        text.entries().forEach(entry -> merged.put(entry.manifest().key(), entry.manifest()));
        ConfigurationCheck check = new ConfigurationCheck(merged, complete);
        check.findings.addAll(text.findings());
        text.entries().forEach(check::checkEntry);
        check.findings.sort(Comparator.comparingInt(Finding::line));
        return List.copyOf(check.findings);
    }

    private void checkEntry(ManifestText.Entry entry) {
        if (entry.manifest() instanceof ServiceManifest service) {
            checkPlacement(entry, service.placement());
            quota(service.team().value()).ifPresent(quota -> checkQuota(entry, service, quota));
        } else if (entry.manifest() instanceof JobManifest job) {
            checkPlacement(entry, job.placement());
            quota(job.team().value()).ifPresent(quota -> checkQuota(entry, job, quota));
        } else if (entry.manifest() instanceof QuotaManifest quota) {
            checkQuotaIsUsed(entry, quota);
        } else if (entry.manifest() instanceof ObjectiveManifest objective
                && !objective.name().equals(OBJECTIVE_IN_FORCE)) {
            add(
                    Finding.Kind.NEVER_MATCHES,
                    entry,
                    "only the objective '" + OBJECTIVE_IN_FORCE + "' is ever in force",
                    "name it " + OBJECTIVE_IN_FORCE + ", or remove it");
        }
    }

    private void checkPlacement(ManifestText.Entry entry, Placement placement) {
        contradictoryKey(placement.workers())
                .ifPresent(key -> add(
                        Finding.Kind.NEVER_MATCHES,
                        entry,
                        "placement.workers has requirements on '" + key + "' that no worker can meet, so that no task"
                                + " ever starts",
                        "correct the requirements on '" + key + "'"));
        checkTaskSelector(entry, "placement.beside", placement.beside(), "so that no task ever starts");
        checkTaskSelector(entry, "placement.notBeside", placement.notBeside(), "so that the rule has no effect");
    }

    private void checkTaskSelector(ManifestText.Entry entry, String field, Selector selector, String effect) {
        if (selector == null) {
            return;
        }
        Optional<String> key = contradictoryKey(selector);
        if (key.isPresent()) {
            add(
                    Finding.Kind.NEVER_MATCHES,
                    entry,
                    field + " has requirements on '" + key.get() + "' that no task can meet, " + effect,
                    "correct the requirements on '" + key.get() + "'");
        } else if (complete && merged.values().stream().noneMatch(other -> selects(selector, other))) {
            add(
                    Finding.Kind.NEVER_MATCHES,
                    entry,
                    field + " selects no service or job in the text or in force, " + effect,
                    "correct the requirements, or apply what they are to select first");
        }
    }

    private static boolean selects(Selector selector, Manifest manifest) {
        if (manifest instanceof ServiceManifest service) {
            return selector.matches(service.labels());
        }
        return manifest instanceof JobManifest job && selector.matches(job.labels());
    }

    /** Returns a label key whose requirements no set of labels meets, empty if there is none. */
    private static Optional<String> contradictoryKey(Selector selector) {
        Map<String, List<Requirement>> byKey = new HashMap<>();
        selector.requirements()
                .forEach(requirement -> byKey.computeIfAbsent(requirement.key(), key -> new ArrayList<>())
                        .add(requirement));
        return byKey.keySet().stream()
                .sorted()
                .filter(key -> !isSatisfiable(key, byKey.get(key)))
                .findFirst();
    }

    /** Tries the absent label, each value that is named, and one value that is not named. */
    private static boolean isSatisfiable(String key, List<Requirement> requirements) {
        Set<String> values = new HashSet<>();
        requirements.forEach(requirement -> values.addAll(requirement.values()));
        boolean unnamed = requirements.stream()
                .noneMatch(requirement -> requirement.operator() == SelectorOperator.IN
                        || requirement.operator() == SelectorOperator.DOES_NOT_EXIST);
        List<Labels> candidates = new ArrayList<>(List.of(Labels.NONE));
        values.forEach(value -> candidates.add(Labels.of(Map.of(key, value))));
        return unnamed
                || candidates.stream().anyMatch(labels -> requirements.stream().allMatch(each -> each.matches(labels)));
    }

    private Optional<QuotaManifest> quota(String team) {
        return Optional.ofNullable((QuotaManifest) merged.get(ManifestKey.of(ManifestKind.QUOTA, team)));
    }

    private void checkQuota(ManifestText.Entry entry, ServiceManifest service, QuotaManifest quota) {
        long fitting = 0;
        Resources sum = Resources.NONE;
        while (fitting < service.replicas() && sum.plus(service.resources()).fitsIn(quota.limit())) {
            sum = sum.plus(service.resources());
            fitting++;
        }
        if (fitting < service.replicas()) {
            add(
                    Finding.Kind.CONTRADICTION,
                    entry,
                    "replicas is " + service.replicas() + ", and the quota of team '" + quota.name() + "' has room for "
                            + fitting + "; services can't borrow",
                    "raise the quota to " + service.replicas() + " times the resources, or lower replicas to "
                            + fitting);
        }
    }

    private void checkQuota(ManifestText.Entry entry, JobManifest job, QuotaManifest quota) {
        if (!quota.mayBorrow() && !job.resources().fitsIn(quota.limit())) {
            add(
                    Finding.Kind.CONTRADICTION,
                    entry,
                    "a task needs " + job.resources().describe() + ", and the quota of team '" + quota.name()
                            + "', which must not borrow, is "
                            + quota.limit().describe(),
                    "raise the quota, let the team borrow, or lower the resources");
        }
    }

    private void checkQuotaIsUsed(ManifestText.Entry entry, QuotaManifest quota) {
        boolean used =
                merged.values().stream().anyMatch(manifest -> quota.name().equals(teamOf(manifest)));
        if (complete && !used) {
            add(
                    Finding.Kind.NEVER_MATCHES,
                    entry,
                    "no service or job in the text or in force belongs to team '" + quota.name() + "'",
                    "correct the name, or remove the quota");
        }
    }

    /** Returns the team of a service or job, null for other kinds. */
    private static TeamName teamOf(Manifest manifest) {
        if (manifest instanceof ServiceManifest service) {
            return service.team();
        }
        return manifest instanceof JobManifest job ? job.team() : null;
    }

    private void add(Finding.Kind kind, ManifestText.Entry entry, String message, String remedy) {
        findings.add(new Finding(kind, entry.line(), entry.manifest().key().toString(), message, remedy));
    }
}
