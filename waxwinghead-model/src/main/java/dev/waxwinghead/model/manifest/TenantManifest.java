package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonInclude;
import dev.waxwinghead.model.id.TenantId;

/**
 * Declares the limits and weight of a tenant.
 *
 * @param name the tenant
 * @param weight its share where tenants compete, 0.001 to 1,000; null means 1
 * @param requestsPerSecond the most requests a second at one entry host, 0.001 to 1,000,000; null means no such limit
 * @param maxInFlight the most requests in flight at one entry host, 1 to 1,000,000; null means no such limit
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TenantManifest(TenantId name, Double weight, Double requestsPerSecond, Integer maxInFlight)
        implements Manifest {
    /** Checks the fields and fills in what was left out. */
    public TenantManifest {
        Checks.present(name, "name");
        weight = Checks.range(weight == null ? 1.0 : weight, 0.001, 1_000.0, "weight");
        if (requestsPerSecond != null) {
            Checks.range(requestsPerSecond, 0.001, 1_000_000.0, "requestsPerSecond");
        }
        if (maxInFlight != null) {
            Checks.range(maxInFlight, 1, 1_000_000, "maxInFlight");
        }
    }

    @Override
    public ManifestKey key() {
        return ManifestKey.of(ManifestKind.TENANT, name.value());
    }
}
