package dev.waxwinghead.testkit.upstream;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Configures an {@link Upstream}.
 *
 * @param id the id of the upstream, different after each restart
 * @param slots the maximum number of concurrent requests; open feeds take no slot
 * @param connections the maximum number of concurrent requests and open feeds together
 * @param permitted supplies whether the upstream may run requests at present
 * @param noiseMicros supplies the delay to add to each request, in microseconds
 * @param events receives the name and detail of events: {@code run} with the key of each keyed request that is run,
 *     {@code late} with the milliseconds since the upstream began to leave
 * @since 0.1
 */
public record UpstreamOptions(
        String id,
        int slots,
        int connections,
        BooleanSupplier permitted,
        LongSupplier noiseMicros,
        BiConsumer<String, String> events) {
    /**
     * Creates options.
     *
     * @param id the id of the upstream, never null
     * @param slots the maximum number of concurrent requests, at least 1
     * @param connections the maximum number of concurrent requests and feeds together, at least 1
     * @param permitted supplies whether the upstream may run requests at present
     * @param noiseMicros supplies the delay to add to each request, in microseconds
     * @param events receives the name and detail of events
     * @return the options, never null
     */
    public static UpstreamOptions of(
            String id,
            int slots,
            int connections,
            BooleanSupplier permitted,
            LongSupplier noiseMicros,
            BiConsumer<String, String> events) {
        return new UpstreamOptions(id, slots, connections, permitted, noiseMicros, events);
    }
}
