package dev.waxwinghead.testkit.upstream;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Holds the settings of an upstream.
 *
 * @param id the upstream's id, of one life
 * @param slots requests that it takes at once; open feeds need none
 * @param connections requests and open feeds that it takes at once
 * @param permitted tells whether it may run a request now
 * @param noiseMicros what is added to each request now, in microseconds
 * @param events receives the name and detail of what a test wants to know: {@code run} with each key that is run,
 *     {@code late} with the milliseconds since it began to leave
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
     * Returns settings.
     *
     * @param id the upstream's id
     * @param slots requests at once, 1 or more
     * @param connections requests and feeds at once, 1 or more
     * @param permitted tells whether it may run a request now
     * @param noiseMicros what is added to each request now, in microseconds
     * @param events receives what a test wants to know
     * @return the settings, never null
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
