package dev.waxwinghead.benchmarks.callers;

import java.util.OptionalInt;

/** Chooses upstreams for the requests of all entry hosts in a simulation. */
interface RoutingPolicy {
    /** Returns the name in the report. */
    String name();

    /** Chooses the upstream of a request at a host; empty if the request has to wait there. */
    OptionalInt choose(int host, long now);

    /** Records that a request was answered. */
    void answered(int host, int upstream, long latencyNanos, long now);

    /** Records that requests wait at a host. */
    default void waiting(int host, int requests, long now) {}
}
