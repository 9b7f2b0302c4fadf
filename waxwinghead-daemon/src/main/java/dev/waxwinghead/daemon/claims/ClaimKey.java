package dev.waxwinghead.daemon.claims;

import dev.waxwinghead.model.id.RequestKey;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.TenantId;

/**
 * Identifies a claim. A key counts within one tenant and service.
 *
 * @param tenant the tenant
 * @param service the service
 * @param key the request's key
 */
public record ClaimKey(TenantId tenant, ServiceName service, RequestKey key) {
    /** Returns the text under which the claim is stored; the parts hold no slash. */
    String text() {
        return tenant + "/" + service + "/" + key;
    }
}
