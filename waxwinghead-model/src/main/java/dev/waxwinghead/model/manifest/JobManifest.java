package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Declares a batch job that runs to completion.
 *
 * @param name the job's name
 * @param team the team whose quota the job uses
 * @param labels the labels of the tasks; null means none
 * @param tasks the number of tasks, 1 to 100,000
 * @param resources the declared resource needs of one task
 * @param placement the rules for placing the tasks; null means no rules
 * @param priority the priority, 0 to 100, where higher priorities go first; null means 50
 * @param urgent whether the tasks go before the tasks of every priority; null means false
 * @param expectedRunMillis the declared run time of one task, in milliseconds, from 1; null means unknown
 * @param maxFailures how often one task may fail before the job fails, 0 to 1,000; null means 3
 * @param settings the settings that the tasks receive unchanged; null means none
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record JobManifest(
        JobName name,
        TeamName team,
        Labels labels,
        int tasks,
        Resources resources,
        Placement placement,
        Integer priority,
        Boolean urgent,
        Long expectedRunMillis,
        Integer maxFailures,
        Map<String, String> settings)
        implements Manifest {
    /** The default value of {@code priority}. */
    public static final int DEFAULT_PRIORITY = 50;

    /** The default value of {@code maxFailures}. */
    public static final int DEFAULT_MAX_FAILURES = 3;

    /** Validates the fields and sets defaults for omitted ones. */
    public JobManifest {
        FieldChecks.requirePresent(name, "name");
        FieldChecks.requirePresent(team, "team");
        FieldChecks.requirePresent(resources, "resources");
        FieldChecks.requireInRange(tasks, 1, 100_000, "tasks");
        labels = labels == null ? Labels.NONE : labels;
        placement = placement == null ? Placement.ANYWHERE : placement;
        priority = FieldChecks.requireInRange(priority == null ? DEFAULT_PRIORITY : priority, 0, 100, "priority");
        urgent = urgent != null && urgent;
        if (expectedRunMillis != null) {
            FieldChecks.requireInRange(expectedRunMillis, 1L, Long.MAX_VALUE, "expectedRunMillis");
        }
        maxFailures = FieldChecks.requireInRange(
                maxFailures == null ? DEFAULT_MAX_FAILURES : maxFailures, 0, 1_000, "maxFailures");
        settings = settings == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(settings));
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.JOB, name.value());
    }
}
