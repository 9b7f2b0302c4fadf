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
 * Declares a service that serves callers.
 *
 * @param name the service's name
 * @param team the team whose quota the service uses
 * @param labels the labels of the tasks; null means none
 * @param replicas the number of tasks, 0 to 20,000
 * @param resources the declared resource needs of one task
 * @param placement the rules for placing the tasks; null means no rules
 * @param slots the number of concurrent requests that one upstream accepts, 1 to 10,000; null means 8
 * @param connections the number of connections that one upstream accepts, 1 to 10,000; null means 64
 * @param latencyTargetMillis the target for the tail latency, 1 to 3,600,000 milliseconds; null means 1,000
 * @param settings the settings that the tasks receive unchanged; null means none
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
    /** The default value of {@code slots}. */
    public static final int DEFAULT_SLOTS = 8;

    /** The default value of {@code connections}. */
    public static final int DEFAULT_CONNECTIONS = 64;

    /** The default value of {@code latencyTargetMillis}. */
    public static final int DEFAULT_LATENCY_TARGET_MILLIS = 1_000;

    /** Validates the fields and sets defaults for omitted ones. */
    public ServiceManifest {
        FieldChecks.requirePresent(name, "name");
        FieldChecks.requirePresent(team, "team");
        FieldChecks.requirePresent(resources, "resources");
        FieldChecks.requireInRange(replicas, 0, 20_000, "replicas");
        labels = labels == null ? Labels.NONE : labels;
        placement = placement == null ? Placement.ANYWHERE : placement;
        slots = FieldChecks.requireInRange(slots == null ? DEFAULT_SLOTS : slots, 1, 10_000, "slots");
        connections = FieldChecks.requireInRange(
                connections == null ? DEFAULT_CONNECTIONS : connections, 1, 10_000, "connections");
        latencyTargetMillis = FieldChecks.requireInRange(
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
