package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Declares a service that answers callers.
 *
 * @param name the service's name
 * @param team the team whose quota it uses
 * @param labels the labels of its tasks; null means none
 * @param replicas how many tasks run, 0 to 20,000
 * @param resources what one task is declared to need
 * @param placement where the tasks may land; null means anywhere
 * @param slots requests that one upstream takes at once, 1 to 10,000; null means 8
 * @param connections connections that one upstream takes, 1 to 10,000; null means 64
 * @param latencyTargetMillis the tail latency aimed at, in milliseconds; null means 1,000
 * @param settings passed to the tasks as they are; null means none
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ServiceManifest(
        ServiceName name,
        TeamName team,
        Labels labels,
        int replicas,
        Resources resources,
        Placement placement,
        Integer slots,
        Integer connections,
        Integer latencyTargetMillis,
        Map<String, String> settings)
        implements Manifest {
    /** The default of {@code slots}. */
    public static final int DEFAULT_SLOTS = 8;

    /** The default of {@code connections}. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** The default of {@code latencyTargetMillis}. */
    public static final int DEFAULT_LATENCY_TARGET_MILLIS = 1_000;

    /** Checks the fields and fills in what was left out. */
    public ServiceManifest {
        Checks.present(name, "name");
        Checks.present(team, "team");
        Checks.present(resources, "resources");
        Checks.range(replicas, 0, 20_000, "replicas");
        labels = labels == null ? Labels.NONE : labels;
        placement = placement == null ? Placement.ANYWHERE : placement;
        slots = Checks.range(slots == null ? DEFAULT_SLOTS : slots, 1, 10_000, "slots");
        connections = Checks.range(connections == null ? DEFAULT_CONNECTIONS : connections, 1, 10_000, "connections");
        latencyTargetMillis = Checks.range(
                latencyTargetMillis == null ? DEFAULT_LATENCY_TARGET_MILLIS : latencyTargetMillis,
                1,
                3_600_000,
                "latencyTargetMillis");
        settings = settings == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(settings));
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.SERVICE, name.value());
    }
}
