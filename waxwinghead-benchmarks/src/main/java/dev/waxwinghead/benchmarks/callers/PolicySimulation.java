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
 * <p>Arrivals form a Poisson process. The service time of a request is half the mean service time plus an exponential
 * time with the other half as its mean. An upstream runs as many requests at once as it has slots and queues the rest.
 * The same seed gives the same result.
 */
public final class PolicySimulation {
    private final Scenario scenario;
    private final VirtualClock clock = VirtualClock.create();
    private final SplittableRandom random;
    private final RoutingPolicy policy;
    private final Histogram latency = new Histogram(3);
    private final List<Deque<Long>> waitingAtHost = new ArrayList<>();
    private final List<Deque<Runnable>> queuedAtUpstream = new ArrayList<>();
    private final int[] running;
    private int sent;
    private int answered;
    private int spilled;
    private int maxOutstanding;

    private PolicySimulation(Scenario scenario, long seed, Function<PolicySimulation, RoutingPolicy> policy) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        this.running = new int[scenario.upstreams()];
        for (int host = 0; host < scenario.hosts(); host++) {
            waitingAtHost.add(new ArrayDeque<>());
        }
        for (int upstream = 0; upstream < scenario.upstreams(); upstream++) {
            queuedAtUpstream.add(new ArrayDeque<>());
        }
        this.policy = policy.apply(this);
    }

    /**
     * Runs all policies in a scenario.
     *
     * @param scenario the scenario
     * @param seed the seed of arrivals, service times and random choices
     * @return one result for each policy, never null
     */
    public static List<Result> runAll(Scenario scenario, long seed) {
        List<Function<PolicySimulation, RoutingPolicy>> policies = List.of(
                simulation -> LoadPolicy.create("lent shares", scenario, simulation.leasedSlots(), seed),
                simulation -> LoadPolicy.create("static shares", scenario, staticSlots(scenario), seed),
                simulation -> LoadUnawarePolicy.roundRobin(scenario),
                simulation -> LoadUnawarePolicy.random(scenario, seed));
        return policies.stream()
                .map(policy -> new PolicySimulation(scenario, seed, policy).run())
                .toList();
    }

    /**
     * Holds the results of one run.
     *
     * @param policy the policy's name
     * @param p50Millis the median latency from the arrival at the entry host to the answer, in milliseconds
     * @param p99Millis the 99th percentile of the latency, in milliseconds
     * @param p999Millis the 99.9th percentile of the latency, in milliseconds
     * @param spillShare the share of requests sent to another data centre, between 0 and 1
     * @param maxOutstanding the highest number of requests that one upstream ran and queued at once
     */
    public record Result(
            String policy,
            double p50Millis,
            double p99Millis,
            double p999Millis,
            double spillShare,
            int maxOutstanding) {}

    private Result run() {
        for (int dataCentre = 0; dataCentre < scenario.dataCentres(); dataCentre++) {
            scheduleArrival(dataCentre);
        }
        while (answered < scenario.requests()) {
            clock.runNextEvent();
        }
        return new Result(
                policy.name(),
                latency.getValueAtPercentile(50) / 1e6,
                latency.getValueAtPercentile(99) / 1e6,
                latency.getValueAtPercentile(99.9) / 1e6,
                (double) spilled / scenario.requests(),
                maxOutstanding);
    }

    private LeasedSlots leasedSlots() {
        Runnable[] onSlotsGained = new Runnable[scenario.hosts()];
        for (int host = 0; host < onSlotsGained.length; host++) {
            int gainingHost = host;
            onSlotsGained[host] = () -> dispatchWaiting(gainingHost);
        }
        return LeasedSlots.create(scenario, clock, onSlotsGained);
    }

    private static LoadPolicy.SlotAllocation staticSlots(Scenario scenario) {
        return (host, upstream, now) -> {
            int extra = (host + upstream) % scenario.hosts() < scenario.slots() % scenario.hosts() ? 1 : 0;
            return scenario.slots() / scenario.hosts() + extra;
        };
    }

    private void scheduleArrival(int dataCentre) {
        if (sent >= scenario.requests()) {
            return;
        }
        long gap = (long) (exponential() * 1e9 / scenario.arrivalsPerSecond(dataCentre));
        clock.schedule(clock.now() + gap, () -> {
            arrive(dataCentre);
            scheduleArrival(dataCentre);
        });
    }

    private void arrive(int dataCentre) {
        if (sent >= scenario.requests()) {
            return;
        }
        sent++;
        int hosts = (scenario.hosts() - dataCentre - 1) / scenario.dataCentres() + 1;
        int host = dataCentre + random.nextInt(hosts) * scenario.dataCentres();
        waitingAtHost.get(host).add(clock.now());
        dispatchWaiting(host);
    }

    private void dispatchWaiting(int host) {
        Deque<Long> queue = waitingAtHost.get(host);
        while (!queue.isEmpty()) {
            OptionalInt upstream = policy.choose(host, clock.now());
            if (upstream.isEmpty()) {
                policy.recordWaiting(host, queue.size(), clock.now());
                return;
            }
            send(host, upstream.getAsInt(), queue.remove());
        }
    }

    private void send(int host, int upstream, long arrivedAt) {
        long sentAt = clock.now();
        long delay = scenario.delayToUpstream(host, upstream);
        spilled += scenario.dataCentreOfHost(host) == scenario.dataCentreOfUpstream(upstream) ? 0 : 1;
        clock.schedule(
                sentAt + delay,
                () -> arriveAtUpstream(
                        upstream,
                        () -> clock.schedule(clock.now() + delay, () -> {
                            answered++;
                            latency.recordValue(clock.now() - arrivedAt);
                            policy.recordAnswer(host, upstream, clock.now() - sentAt, clock.now());
                            dispatchWaiting(host);
                        })));
    }

    private void arriveAtUpstream(int upstream, Runnable answer) {
        Deque<Runnable> queue = queuedAtUpstream.get(upstream);
        maxOutstanding = Math.max(maxOutstanding, running[upstream] + queue.size() + 1);
        if (running[upstream] == scenario.slots()) {
            queue.add(answer);
        } else {
            serve(upstream, answer);
        }
    }

    private void serve(int upstream, Runnable answer) {
        running[upstream]++;
        double slowdown = scenario.firstUpstreamSlow() && upstream == 0 ? 10 : 1;
        long service = (long) (Scenario.MEAN_SERVICE_NANOS * slowdown * (0.5 + 0.5 * exponential()));
        clock.schedule(clock.now() + service, () -> {
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
