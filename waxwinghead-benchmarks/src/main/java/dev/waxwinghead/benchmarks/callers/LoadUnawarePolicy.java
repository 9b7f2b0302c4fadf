package dev.waxwinghead.benchmarks.callers;

import java.util.OptionalInt;
import java.util.SplittableRandom;

/** Chooses an upstream of the host's data centre at random or round robin, ignoring load and slots; upstreams queue. */
final class LoadUnawarePolicy implements RoutingPolicy {
    private final Scenario scenario;
    private final boolean isRoundRobin;
    private final SplittableRandom random;
    private final int[] nextIndex;

    private LoadUnawarePolicy(Scenario scenario, boolean isRoundRobin, long seed) {
        this.scenario = scenario;
        this.isRoundRobin = isRoundRobin;
        this.random = new SplittableRandom(seed);
        this.nextIndex = new int[scenario.hosts()];
    }

    static LoadUnawarePolicy random(Scenario scenario, long seed) {
        return new LoadUnawarePolicy(scenario, false, seed);
    }

    static LoadUnawarePolicy roundRobin(Scenario scenario) {
        return new LoadUnawarePolicy(scenario, true, 0);
    }

    @Override
    public String name() {
        return isRoundRobin ? "round robin" : "random";
    }

    @Override
    public OptionalInt choose(int host, long now) {
        int dataCentre = scenario.dataCentreOfHost(host);
        int count = (scenario.upstreams() - dataCentre - 1) / scenario.dataCentres() + 1;
        int chosen = isRoundRobin ? nextIndex[host]++ % count : random.nextInt(count);
        return OptionalInt.of(dataCentre + chosen * scenario.dataCentres());
    }

    @Override
    public void recordAnswer(int host, int upstream, long latencyNanos, long now) {}
}
