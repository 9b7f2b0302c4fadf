/** Embeddable scheduling policies without input or output: placement, quotas, routing, limits and retries. */
package dev.waxwinghead.scheduling;
