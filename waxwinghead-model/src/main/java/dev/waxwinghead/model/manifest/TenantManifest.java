package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TenantId;

/**
 * Declares the limits and weight of a tenant.
 *
 * @param name the id of the tenant
 * @param weight the relative share when tenants compete, 0.001 to 1,000; null means 1
 * @param requestsPerSecond the rate limit at one entry host, in requests per second, 0.001 to 1,000,000; null means no
 *     such limit
 * @param maxInFlight the limit of requests in flight at one entry host, 1 to 1,000,000; null means no such limit
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TenantManifest(TenantId name, Double weight, Double requestsPerSecond, Integer maxInFlight)
        implements Manifest {
    /** Validates the fields and sets defaults for omitted ones. */
    public TenantManifest {
        FieldChecks.requirePresent(name, "name");
        weight = FieldChecks.requireInRange(weight == null ? 1.0 : weight, 0.001, 1_000.0, "weight");
        if (requestsPerSecond != null) {
            FieldChecks.requireInRange(requestsPerSecond, 0.001, 1_000_000.0, "requestsPerSecond");
        }
        if (maxInFlight != null) {
            FieldChecks.requireInRange(maxInFlight, 1, 1_000_000, "maxInFlight");
        }
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.TENANT, name.value());
    }
}
