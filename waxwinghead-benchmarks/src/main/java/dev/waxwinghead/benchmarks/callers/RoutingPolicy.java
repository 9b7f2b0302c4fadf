package dev.waxwinghead.benchmarks.callers;

import java.util.OptionalInt;

/** Chooses upstreams for the requests of all entry hosts in a simulation. */
interface RoutingPolicy {
    /** Returns the name printed with the results. */
    String name();

    /** Returns the upstream of the next request at a host, empty if the request must wait at the host. */
    OptionalInt choose(int host, long now);

    /** Records the answer of an upstream to a request. */
    void recordAnswer(int host, int upstream, long latencyNanos, long now);

    /** Records how many requests wait at a host. */
    default void recordWaiting(int host, int requests, long now) {}
}
