package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TrafficClass;

/**
 * Declares the limits and latency target of a class of requests.
 *
 * @param name the class
 * @param weight its share where classes compete, 0.001 to 1,000; null means 1
 * @param maxInFlight the most requests in flight at one entry host, 1 to 1,000,000; null means no such limit
 * @param latencyTargetMillis the tail latency aimed at, in milliseconds; null means the service's
 * @param hedge whether idempotent requests may be sent to a second upstream when the first is late; null means false
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TrafficClassManifest(
        TrafficClass name, Double weight, Integer maxInFlight, Integer latencyTargetMillis, Boolean hedge)
        implements Manifest {
    /** Checks the fields and fills in what was left out. */
    public TrafficClassManifest {
        Checks.present(name, "name");
        weight = Checks.range(weight == null ? 1.0 : weight, 0.001, 1_000.0, "weight");
        if (maxInFlight != null) {
            Checks.range(maxInFlight, 1, 1_000_000, "maxInFlight");
        }
        if (latencyTargetMillis != null) {
            Checks.range(latencyTargetMillis, 1, 3_600_000, "latencyTargetMillis");
        }
        hedge = hedge != null && hedge;
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.TRAFFIC_CLASS, name.value());
    }
}
