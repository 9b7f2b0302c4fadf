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
 * @param team the team whose quota it uses
 * @param labels the labels of its tasks; null means none
 * @param tasks how many tasks it has, 1 to 100,000
 * @param resources what one task is declared to need
 * @param placement where the tasks may land; null means anywhere
 * @param priority 0 to 100, higher first; null means 50
 * @param urgent whether its tasks go before those of every priority; null means false
 * @param expectedRunMillis how long one task is declared to run, in milliseconds; null means unknown
 * @param maxFailures how often one task may fail before the job fails, 0 to 1,000; null means 3
 * @param settings passed to the tasks as they are; null means none
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
    /** The default of {@code priority}. */
    public static final int DEFAULT_PRIORITY = 50;

    /** The default of {@code maxFailures}. */
    public static final int DEFAULT_MAX_FAILURES = 3;

    /** Checks the fields and fills in what was left out. */
    public JobManifest {
        Checks.present(name, "name");
        Checks.present(team, "team");
        Checks.present(resources, "resources");
        Checks.range(tasks, 1, 100_000, "tasks");
        labels = labels == null ? Labels.NONE : labels;
        placement = placement == null ? Placement.ANYWHERE : placement;
        priority = Checks.range(priority == null ? DEFAULT_PRIORITY : priority, 0, 100, "priority");
        urgent = urgent != null && urgent;
        if (expectedRunMillis != null) {
            Checks.range(expectedRunMillis, 1L, Long.MAX_VALUE, "expectedRunMillis");
        }
        maxFailures = Checks.range(maxFailures == null ? DEFAULT_MAX_FAILURES : maxFailures, 0, 1_000, "maxFailures");
        settings = settings == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(settings));
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.JOB, name.value());
    }
}
