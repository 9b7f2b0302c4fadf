package dev.waxwinghead.testkit.load;

import java.time.Duration;
import java.util.List;

/**
 * Holds what a load run sends.
 *
 * @param entryHosts the entry hosts' caller ports as {@code ip:port}, taken in turn
 * @param service the service that is called
 * @param path the path behind the service, <code>{n}</code> standing for the request's number
 * @param method the HTTP method
 * @param bodyBytes the size of each request's body, in bytes
 * @param tenant the tenant; null sends none
 * @param trafficClass the class; null sends none
 * @param kind the kind of request; null sends none
 * @param keyPrefix the start of each request's key, the number follows; null sends none
 * @param deadline how long a caller waits
 * @param ratePerSecond requests started each second, whatever the answers do; 0 for a closed loop
 * @param concurrency requests in flight of a closed loop, and the bound of an open one
 * @param duration how long requests are started
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
