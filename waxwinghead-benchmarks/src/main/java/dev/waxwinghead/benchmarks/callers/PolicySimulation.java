package dev.waxwinghead.benchmarks.callers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/**
 * Sends requests through entry hosts to upstreams in virtual time.
 *
 * <p>Arrivals are Poisson. A request takes half the mean service time and an exponential half. Upstreams run as many at
 * once as they have slots and queue the rest. The same seed gives the same result.
 */
public final class PolicySimulation {
    private final Scenario scenario;
    private final VirtualClock clock = VirtualClock.create();
    private final SplittableRandom random;
    private final RoutingPolicy policy;
    private final Histogram latency = new Histogram(3);
    private final List<Deque<Long>> waiting = new ArrayList<>();
    private final List<Deque<Runnable>> queuedAtUpstream = new ArrayList<>();
    private final int[] running;
    private int sent;
    private int done;
    private int spilled;
    private int mostRunning;

    private PolicySimulation(Scenario scenario, long seed, Function<PolicySimulation, RoutingPolicy> policy) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        this.running = new int[scenario.upstreams()];
        for (int host = 0; host < scenario.hosts(); host++) {
            waiting.add(new ArrayDeque<>());
        }
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            queuedAtUpstream.add(new ArrayDeque<>());
        }
        this.policy = policy.apply(this);
    }

    /**
     * Runs all policies on a scenario.
     *
     * @param scenario the scenario
     * @param seed the seed
     * @return one result for each policy
     */
    public static List<Result> runAll(Scenario scenario, long seed) {
        List<Function<PolicySimulation, RoutingPolicy>> policies = List.of(
                simulation -> LoadPolicy.create("lent shares", scenario, simulation.lentSlots(), seed),
                simulation -> LoadPolicy.create("static shares", scenario, staticSlots(scenario), seed),
                simulation -> BlindPolicy.roundRobin(scenario),
                simulation -> BlindPolicy.random(scenario, seed));
        return policies.stream()
                .map(policy -> new PolicySimulation(scenario, seed, policy).run())
                .toList();
    }

    /**
     * Holds the figures of one run.
     *
     * @param policy the policy's name
     * @param p50Millis the median latency seen at the entry host, in milliseconds
     * @param p99Millis the 99th percentile, in milliseconds
     * @param p999Millis the 99.9th percentile, in milliseconds
     * @param spill the share of requests that left their data centre
     * @param mostRunning the most requests sent to and not answered by one upstream at once
     */
    public record Result(
            String policy, double p50Millis, double p99Millis, double p999Millis, double spill, int mostRunning) {}

    private Result run() {
        for (int dataCentre = 0; dataCentre < scenario.dataCentres(); dataCentre++) {
            arriveLater(dataCentre);
        }
        while (done < scenario.requests()) {
            clock.step();
        }
        return new Result(
                policy.name(),
                latency.getValueAtPercentile(50) / 1e6,
                latency.getValueAtPercentile(99) / 1e6,
                latency.getValueAtPercentile(99.9) / 1e6,
                (double) spilled / scenario.requests(),
                mostRunning);
    }

    private LentSlots lentSlots() {
        Runnable[] onGain = new Runnable[scenario.hosts()];
        for (int host = 0; host < onGain.length; host++) {
            int each = host;
            onGain[host] = () -> drain(each);
        }
        return LentSlots.create(scenario, clock, onGain);
    }

    private static LoadPolicy.SlotDivision staticSlots(Scenario scenario) {
        return (host, upstream, now) -> {
            int odd = (host + upstream) % scenario.hosts() < scenario.slots() % scenario.hosts() ? 1 : 0;
            return scenario.slots() / scenario.hosts() + odd;
        };
    }

    private void arriveLater(int dataCentre) {
        if (sent >= scenario.requests()) {
            return;
        }
        long gap = (long) (exponential() * 1e9 / scenario.arrivals(dataCentre));
        clock.at(clock.now() + gap, () -> {
            arrive(dataCentre);
            arriveLater(dataCentre);
        });
    }

    private void arrive(int dataCentre) {
        if (sent >= scenario.requests()) {
            return;
        }
        sent++;
        int hosts = (scenario.hosts() - dataCentre - 1) / scenario.dataCentres() + 1;
        int host = dataCentre + random.nextInt(hosts) * scenario.dataCentres();
        waiting.get(host).add(clock.now());
        drain(host);
    }

    private void drain(int host) {
        Deque<Long> queue = waiting.get(host);
        while (!queue.isEmpty()) {
            OptionalInt upstream = policy.choose(host, clock.now());
            if (upstream.isEmpty()) {
                policy.waiting(host, queue.size(), clock.now());
                return;
            }
            send(host, upstream.getAsInt(), queue.remove());
        }
    }

    private void send(int host, int upstream, long arrivedAt) {
        long sentAt = clock.now();
        long distance = scenario.distance(host, upstream);
        spilled += scenario.dataCentreOfHost(host) == scenario.dataCentreOfUpstream(upstream) ? 0 : 1;
        clock.at(
                sentAt + distance,
                () -> enter(
                        upstream,
                        () -> clock.at(clock.now() + distance, () -> {
                            done++;
                            latency.recordValue(clock.now() - arrivedAt);
                            policy.answered(host, upstream, clock.now() - sentAt, clock.now());
                            drain(host);
                        })));
    }

    private void enter(int upstream, Runnable answer) {
        Deque<Runnable> queue = queuedAtUpstream.get(upstream);
        mostRunning = Math.max(mostRunning, running[upstream] + queue.size() + 1);
        if (running[upstream] == scenario.slots()) {
            queue.add(answer);
        } else {
            serve(upstream, answer);
        }
    }

    private void serve(int upstream, Runnable answer) {
        running[upstream]++;
        double slowness = scenario.oneSlow() && upstream == 0 ? 10 : 1;
        long service = (long) (Scenario.MEAN_SERVICE_NANOS * slowness * (0.5 + 0.5 * exponential()));
        clock.at(clock.now() + service, () -> {
            running[upstream]--;
            Runnable next = queuedAtUpstream.get(upstream).poll();
            if (next != null) {
                serve(upstream, next);
            }
            answer.run();
        });
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }
}
