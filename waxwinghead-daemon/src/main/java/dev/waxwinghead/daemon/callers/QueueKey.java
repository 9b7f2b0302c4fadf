package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.daemon.shares.Resource;
import dev.waxwinghead.model.id.ServiceName;

/**
 * Names a queue: feeds don't wait behind requests, since they take other resources of the same upstreams.
 *
 * @param service the service
 * @param resource what the calls wait for
 */
record QueueKey(ServiceName service, Resource resource) {
    static QueueKey of(CallRequest request) {
        boolean feed = request.kind() == CallKind.FEED;
        return new QueueKey(request.service(), feed ? Resource.FEEDS : Resource.SLOTS);
    }
}
