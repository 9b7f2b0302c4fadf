/** Embeddable scheduling policies: pure decisions on placement, quotas, routing, limits and retries. */
package dev.waxwinghead.scheduling;
