package dev.waxwinghead.testkit.load;

import java.time.Duration;
import java.util.List;

/**
 * Describes the requests of a load run.
 *
 * @param entryHosts the caller ports of the entry hosts as {@code ip:port}, used in turn
 * @param service the service to call
 * @param path the path after the service name; <code>{n}</code> is replaced by the number of the request
 * @param method the HTTP method
 * @param bodyBytes the size of each request body, in bytes
 * @param tenant the tenant, null to send none
 * @param trafficClass the traffic class, null to send none
 * @param kind the kind of request, null to send none
 * @param keyPrefix the prefix of the idempotency keys, followed by the number of the request; null to send none
 * @param deadline the time that a caller waits for a response
 * @param ratePerSecond the requests started per second, independent of responses; 0 for a closed loop
 * @param concurrency the number of requests in flight in a closed loop, and their maximum in an open loop
 * @param duration the period during which requests are started
 */
record LoadPlan(
        List<String> entryHosts,
        String service,
        String path,
        String method,
        int bodyBytes,
        String tenant,
        String trafficClass,
        String kind,
        String keyPrefix,
        Duration deadline,
        double ratePerSecond,
        int concurrency,
        Duration duration) {
    LoadPlan {
        entryHosts = List.copyOf(entryHosts);
    }

    boolean openLoop() {
        return ratePerSecond > 0;
    }
}
