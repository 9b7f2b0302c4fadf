package dev.waxwinghead.model.manifest;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Declares an object that operators configure. The field {@code kind} of the YAML or JSON text selects the type.
 *
 * @see Manifests
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ServiceManifest.class, name = "Service"),
    @JsonSubTypes.Type(value = JobManifest.class, name = "Job"),
    @JsonSubTypes.Type(value = QuotaManifest.class, name = "Quota"),
    @JsonSubTypes.Type(value = TenantManifest.class, name = "Tenant"),
    @JsonSubTypes.Type(value = TrafficClassManifest.class, name = "TrafficClass"),
    @JsonSubTypes.Type(value = ObjectiveManifest.class, name = "Objective")
})
public sealed interface Manifest
        permits ServiceManifest, JobManifest, QuotaManifest, TenantManifest, TrafficClassManifest, ObjectiveManifest {
    /**
     * Returns the kind and name under which the manifest is stored.
     *
     * @return the key, never null
     */
    @JsonIgnore
    ManifestKey key();
}
