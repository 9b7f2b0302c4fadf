package dev.waxwinghead.benchmarks.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints the latency of all routing policies for fleets of the users' sizes. */
public final class PolicyBench {
    private static final int REQUESTS = 60_000;
    private static final long SEED = 1;

    private PolicyBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        for (Scenario scenario : scenarios(REQUESTS)) {
            System.out.println(scenario.name());
            for (PolicySimulation.Result result : PolicySimulation.runAll(scenario, SEED)) {
                System.out.printf(
                        Locale.ROOT,
                        "  %-14s p50 %6.1f  p99 %7.1f  p99.9 %7.1f ms  spill %4.1f%%  most at one upstream %d%n",
                        result.policy(),
                        result.p50Millis(),
                        result.p99Millis(),
                        result.p999Millis(),
                        result.spillShare() * 100,
                        result.maxOutstanding());
            }
        }
    }

    /** Returns scenarios of the users' fleet sizes, each with one slow upstream and with one overloaded data centre. */
    static List<Scenario> scenarios(int requests) {
        List<Scenario> scenarios = new ArrayList<>();
        for (int hosts : new int[] {6, 9}) {
            for (int dataCentres : new int[] {3, 4}) {
                int upstreams = dataCentres == 3 ? 33 : 32;
                String size = upstreams + " upstreams, " + dataCentres + " data centres, " + hosts + " hosts, ";
                scenarios.add(new Scenario(
                        size + "one slow, load 60%", upstreams, dataCentres, hosts, 8, 0.6, 0.6, true, requests));
                scenarios.add(new Scenario(
                        size + "first data centre at 130%, load 60%",
                        upstreams,
                        dataCentres,
                        hosts,
                        8,
                        0.6,
                        1.3,
                        false,
                        requests));
            }
        }
        return scenarios;
    }
}
