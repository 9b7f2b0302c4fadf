package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * Declares the weights of the scheduling objective.
 *
 * @param name the objective's name; only the objective named {@code default} is in force
 * @param tailLatency the weight of services' tail latency, 0 to 1,000
 * @param batchThroughput the weight of batch throughput, 0 to 1,000
 * @param evictions the weight of evictions, 0 to 1,000
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ObjectiveManifest(String name, double tailLatency, double batchThroughput, double evictions)
        implements Manifest {
    /** Validates the fields. */
    public ObjectiveManifest {
        FieldChecks.requirePresent(name, "name");
        FieldChecks.requireInRange(tailLatency, 0.0, 1_000.0, "tailLatency");
        FieldChecks.requireInRange(batchThroughput, 0.0, 1_000.0, "batchThroughput");
        FieldChecks.requireInRange(evictions, 0.0, 1_000.0, "evictions");
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.OBJECTIVE, name);
    }
}
