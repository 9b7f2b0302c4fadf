package dev.waxwinghead.benchmarks.callers;

import java.util.OptionalInt;
import java.util.SplittableRandom;

/** Chooses within the own data centre, at random or in turn, and knows of no slots: upstreams queue. */
final class BlindPolicy implements RoutingPolicy {
    private final Scenario scenario;
    private final boolean inTurn;
    private final SplittableRandom random;
    private final int[] next;

    private BlindPolicy(Scenario scenario, boolean inTurn, long seed) {
        this.scenario = scenario;
        this.inTurn = inTurn;
        this.random = new SplittableRandom(seed);
        this.next = new int[scenario.hosts()];
    }

    static BlindPolicy random(Scenario scenario, long seed) {
        return new BlindPolicy(scenario, false, seed);
    }

    static BlindPolicy roundRobin(Scenario scenario) {
        return new BlindPolicy(scenario, true, 0);
    }

    @Override
    public String name() {
        return inTurn ? "round robin" : "random";
    }

    @Override
    public OptionalInt choose(int host, long now) {
        int dataCentre = scenario.dataCentreOfHost(host);
        int count = (scenario.upstreams() - dataCentre - 1) / scenario.dataCentres() + 1;
        int chosen = inTurn ? next[host]++ % count : random.nextInt(count);
        return OptionalInt.of(dataCentre + chosen * scenario.dataCentres());
    }

    @Override
    public void answered(int host, int upstream, long latencyNanos, long now) {}
}
