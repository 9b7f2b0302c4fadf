package dev.waxwinghead.daemon.claims;

import dev.waxwinghead.model.id.RequestKey;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.TenantId;

/**
 * Identifies a claim. Request keys are scoped to a tenant and a service.
 *
 * @param tenant the tenant
 * @param service the service
 * @param key the request's key
 */
public record ClaimKey(TenantId tenant, ServiceName service, RequestKey key) {
    /** Returns the text under which the claim is stored. The text is unambiguous, as no component contains a slash. */
    String text() {
        return tenant + "/" + service + "/" + key;
    }
}
