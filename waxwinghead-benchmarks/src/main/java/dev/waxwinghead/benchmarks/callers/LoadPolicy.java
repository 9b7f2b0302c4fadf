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

/** Chooses by load as the daemon does, within the slots that a division of them allows. */
final class LoadPolicy implements RoutingPolicy {
    private final String name;
    private final SlotDivision division;
    private final List<List<UpstreamLoad>> loads = new ArrayList<>();
    private final List<UpstreamChooser> choosers = new ArrayList<>();
    private final Map<UpstreamId, Integer> numbers = new HashMap<>();

    private LoadPolicy(String name, Scenario scenario, SlotDivision division, long seed) {
        this.name = name;
        this.division = division;
        for (int host = 0; host < scenario.hosts(); host++) {
            List<UpstreamLoad> own = new ArrayList<>();
            for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
                UpstreamId id = UpstreamId.of("u" + upstream);
                numbers.put(id, upstream);
                own.add(UpstreamLoad.create(id, dataCentre(scenario.dataCentreOfUpstream(upstream)), 0));
            }
            loads.add(own);
            choosers.add(UpstreamChooser.create(
                    dataCentre(scenario.dataCentreOfHost(host)), new SplittableRandom(seed + host)));
        }
    }

    static LoadPolicy create(String name, Scenario scenario, SlotDivision division, long seed) {
        return new LoadPolicy(name, scenario, division, seed);
    }

    /** Tells how many slots each host may use. */
    interface SlotDivision {
        int limit(int host, int upstream, long now);

        default boolean tryStart(int host, int upstream, long now) {
            return true;
        }

        default void ended(int host, int upstream) {}

        default void wanted(int host, int waiting, long now) {}
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public OptionalInt choose(int host, long now) {
        List<UpstreamLoad> own = loads.get(host);
        for (int upstream = 0; upstream < own.size(); upstream++) {
            own.get(upstream).limitTo(division.limit(host, upstream, now));
        }
        return choosers.get(host)
                .choose(own, now)
                .map(load -> start(host, load, now))
                .orElse(OptionalInt.empty());
    }

    @Override
    public void answered(int host, int upstream, long latencyNanos, long now) {
        loads.get(host).get(upstream).answered(latencyNanos, now);
        division.ended(host, upstream);
    }

    @Override
    public void waiting(int host, int requests, long now) {
        division.wanted(host, requests, now);
    }

    private OptionalInt start(int host, UpstreamLoad load, long now) {
        int upstream = numbers.get(load.upstream());
        if (!division.tryStart(host, upstream, now)) {
            return OptionalInt.empty();
        }
        load.started(now);
        return OptionalInt.of(upstream);
    }

    private static DataCentreId dataCentre(int number) {
        return DataCentreId.of("dc" + number);
    }
}
