package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.model.id.UpstreamId;

/**
 * Identifies a resource of an upstream.
 *
 * @param upstream the upstream
 * @param resource the resource
 */
record ShareKey(UpstreamId upstream, Resource resource) {}
