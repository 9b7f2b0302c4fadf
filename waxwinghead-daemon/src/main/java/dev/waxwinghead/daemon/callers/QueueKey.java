package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.shares.Resource;
import dev.waxwinghead.model.id.ServiceName;

/**
 * Identifies a queue of calls. Feeds don't wait behind requests, since they use another resource of the same upstreams.
 *
 * @param service the service
 * @param resource the resource that the calls wait for
 */
record QueueKey(ServiceName service, Resource resource) {
    static QueueKey of(CallRequest request) {
        boolean feed = request.kind() == CallKind.FEED;
        return new QueueKey(request.service(), feed ? Resource.FEEDS : Resource.SLOTS);
    }
}
