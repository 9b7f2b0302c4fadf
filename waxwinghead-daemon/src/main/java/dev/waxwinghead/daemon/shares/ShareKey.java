package dev.waxwinghead.daemon.shares;

import dev.waxwinghead.model.id.UpstreamId;

/**
 * Names one resource of one upstream.
 *
 * @param upstream the upstream
 * @param resource the resource
 */
record ShareKey(UpstreamId upstream, Resource resource) {}
