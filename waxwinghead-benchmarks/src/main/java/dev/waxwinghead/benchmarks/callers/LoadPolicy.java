package dev.waxwinghead.benchmarks.callers;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.scheduling.routing.UpstreamChooser;
import dev.waxwinghead.scheduling.routing.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;

/** Chooses upstreams by load, as the daemon does, within the slots that a {@link SlotAllocation} grants each host. */
final class LoadPolicy implements RoutingPolicy {
    private final String name;
    private final SlotAllocation allocation;
    private final List<List<UpstreamLoad>> loads = new ArrayList<>();
    private final List<UpstreamChooser> choosers = new ArrayList<>();
    private final Map<UpstreamId, Integer> upstreamNumbers = new HashMap<>();

    private LoadPolicy(String name, Scenario scenario, SlotAllocation allocation, long seed) {
        this.name = name;
        this.allocation = allocation;
        for (int host = 0; host < scenario.hosts(); host++) {
            List<UpstreamLoad> hostLoads = new ArrayList<>();
            for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
                UpstreamId id = UpstreamId.of("u" + upstream);
                upstreamNumbers.put(id, upstream);
                hostLoads.add(UpstreamLoad.create(id, dataCentre(scenario.dataCentreOfUpstream(upstream)), 0));
            }
            loads.add(hostLoads);
            choosers.add(UpstreamChooser.create(
                    dataCentre(scenario.dataCentreOfHost(host)), new SplittableRandom(seed + host)));
        }
    }

    static LoadPolicy create(String name, Scenario scenario, SlotAllocation allocation, long seed) {
        return new LoadPolicy(name, scenario, allocation, seed);
    }

    /** Allocates the slots of each upstream to the hosts. */
    interface SlotAllocation {
        /** Returns how many requests a host may have in progress at an upstream. */
        int limit(int host, int upstream, long now);

        /** Acquires a slot of an upstream for a host, and returns whether this succeeded. */
        default boolean tryAcquire(int host, int upstream, long now) {
            return true;
        }

        /** Releases a slot after an answer. */
        default void release(int host, int upstream) {}

        /** Requests more slots for a host at which requests wait. */
        default void requestMore(int host, int waiting, long now) {}
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public OptionalInt choose(int host, long now) {
        List<UpstreamLoad> hostLoads = loads.get(host);
        for (int upstream = 0; upstream < hostLoads.size(); upstream++) {
            hostLoads.get(upstream).limitTo(allocation.limit(host, upstream, now));
        }
        return choosers.get(host)
                .choose(hostLoads, now)
                .map(load -> start(host, load, now))
                .orElse(OptionalInt.empty());
    }

    @Override
    public void recordAnswer(int host, int upstream, long latencyNanos, long now) {
        loads.get(host).get(upstream).answered(latencyNanos, now);
        allocation.release(host, upstream);
    }

    @Override
    public void recordWaiting(int host, int requests, long now) {
        allocation.requestMore(host, requests, now);
    }

    private OptionalInt start(int host, UpstreamLoad load, long now) {
        int upstream = upstreamNumbers.get(load.upstream());
        if (!allocation.tryAcquire(host, upstream, now)) {
            return OptionalInt.empty();
        }
        load.started(now);
        return OptionalInt.of(upstream);
    }

    private static DataCentreId dataCentre(int number) {
        return DataCentreId.of("dc" + number);
    }
}
