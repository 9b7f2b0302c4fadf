package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TrafficClass;

/**
 * Declares the limits and latency target of a class of requests.
 *
 * @param name the name of the class
 * @param weight the relative share when classes compete, 0.001 to 1,000; null means 1
 * @param maxInFlight the limit of requests in flight at one entry host, 1 to 1,000,000; null means no such limit
 * @param latencyTargetMillis the target for the tail latency, 1 to 3,600,000 milliseconds; null means the target of the
 *     service
 * @param hedge whether an idempotent request may be sent to a second upstream if the first one is slow; null means
 *     false
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TrafficClassManifest(
        TrafficClass name, Double weight, Integer maxInFlight, Integer latencyTargetMillis, Boolean hedge)
        implements Manifest {
    /** Validates the fields and sets defaults for omitted ones. */
    public TrafficClassManifest {
        FieldChecks.requirePresent(name, "name");
        weight = FieldChecks.requireInRange(weight == null ? 1.0 : weight, 0.001, 1_000.0, "weight");
        if (maxInFlight != null) {
            FieldChecks.requireInRange(maxInFlight, 1, 1_000_000, "maxInFlight");
        }
        if (latencyTargetMillis != null) {
            FieldChecks.requireInRange(latencyTargetMillis, 1, 3_600_000, "latencyTargetMillis");
        }
        hedge = hedge != null && hedge;
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.TRAFFIC_CLASS, name.value());
    }
}
