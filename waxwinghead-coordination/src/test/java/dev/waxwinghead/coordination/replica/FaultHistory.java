package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.replica.SimulatedFaults.Moment;
import dev.waxwinghead.coordination.replica.SimulatedFaults.Size;
import dev.waxwinghead.model.id.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays a seeded series of lost disks, restarts, replaced hosts, splits and exchanged seeds, and then lets all hosts
 * lose their power and as many of them as allowed their disks.
 */
final class FaultHistory {
    private static final long MILLI = SimulatedCluster.NANOS_PER_MILLI;
    private static final List<Size> SIZES =
            List.of(new Size(5, 5, 2), new Size(3, 3, 1), new Size(6, 5, 2), new Size(4, 3, 1));
    private static final int SEEDS = 3;
    private static final int MAX_DOWN_MILLIS = 2300;
    private static final int MAX_START_MILLIS = 800;

    private final UniformRandomProvider random;
    private final SimulatedFaults faults;
    private final SimulatedCluster cluster;
    private final List<String> events = new ArrayList<>();
    private final long start;
    private int nextHost = 10;

    FaultHistory(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Size size = SIZES.get(random.nextInt(SIZES.size()));
        faults = new SimulatedFaults(seed, size);
        cluster = faults.cluster;
        start = cluster.now();
        events.add(size.toString());
    }

    /** Returns the events so far, each with its time in milliseconds. */
    List<String> events() {
        return events;
    }

    void run() {
        int count = 1 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            pause();
            step(random.nextInt(100));
        }
        pause();
        cluster.heal();
        Moment moment = faults.currentMoment();
        List<Set<HostId>> losses = moment.allowedLosses();
        moment.checkRecoversWithout(losses.get(random.nextInt(losses.size())));
    }

    /** Waits, often for little more than the time during which a host counts as lost. */
    private void pause() {
        long millis = random.nextInt(2) == 0 ? 5500 + random.nextInt(3000) : random.nextInt(8000);
        cluster.runFor(millis * MILLI + random.nextInt((int) MILLI));
    }

    private void step(int kind) {
        boolean mayLoseHost = faults.lost().size() < faults.tolerance;
        if (kind < 30 && mayLoseHost) {
            loseDisk();
        } else if (kind < 50 && mayLoseHost) {
            replace();
        } else if (kind < 65 && mayLoseHost) {
            restart();
        } else if (kind < 75) {
            restartAll();
        } else if (kind < 88) {
            split();
        } else {
            exchangeSeeds();
        }
    }

    private void loseDisk() {
        HostId victim = victim();
        int down = downMillis();
        log(victim + " loses its disk and is down for " + down);
        faults.loseDisk(victim, down * MILLI);
    }

    private void replace() {
        HostId victim = victim();
        HostId successor = HostId.of("f" + nextHost++);
        int down = downMillis();
        List<HostId> hosts = new ArrayList<>(cluster.hosts.keySet());
        hosts.remove(victim);
        List<HostId> seeds = sample(hosts, Math.min(SEEDS, hosts.size()));
        log(victim + " is replaced by " + successor + " with seeds " + seeds + " after " + down);
        faults.replace(victim, successor, seeds, down * MILLI);
        exchangeSeeds();
    }

    private void restart() {
        HostId victim = victim();
        int down = downMillis();
        log(victim + " restarts after " + down);
        faults.restart(victim, down * MILLI);
        faults.extendLosses(cluster.now() + down * MILLI);
    }

    private void restartAll() {
        log("all restart");
        faults.restartAll(() -> random.nextInt(MAX_START_MILLIS) * MILLI);
        faults.extendLosses(cluster.now() + MAX_START_MILLIS * MILLI);
    }

    private void split() {
        List<HostId> hosts = List.copyOf(cluster.hosts.keySet());
        Set<HostId> half = new TreeSet<>(sample(hosts, (hosts.size() + random.nextInt(2)) / 2));
        int millis = 1000 + random.nextInt(5000);
        log(half + " are split off for " + millis);
        cluster.split(half);
        cluster.schedule(millis * MILLI, cluster::heal);
        faults.extendLosses(cluster.now() + millis * MILLI);
    }

    private void exchangeSeeds() {
        List<HostId> seeds = sample(List.copyOf(cluster.hosts.keySet()), SEEDS);
        log("seeds " + seeds);
        cluster.hosts.values().forEach(host -> host.seeds = seeds);
    }

    /** Returns a host that doesn't count as lost, often the leader. */
    private HostId victim() {
        List<HostId> candidates = new ArrayList<>(cluster.hosts.keySet());
        candidates.removeAll(faults.lost());
        HostId any = candidates.get(random.nextInt(candidates.size()));
        return cluster.leader()
                .map(leader -> leader.id)
                .filter(candidates::contains)
                .filter(leader -> random.nextInt(3) == 0)
                .orElse(any);
    }

    private List<HostId> sample(List<HostId> hosts, int size) {
        List<HostId> remaining = new ArrayList<>(hosts);
        List<HostId> chosen = new ArrayList<>();
        while (chosen.size() < size) {
            chosen.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return List.copyOf(chosen);
    }

    private int downMillis() {
        return 300 + random.nextInt(MAX_DOWN_MILLIS - 300);
    }

    private void log(String event) {
        events.add((cluster.now() - start) / MILLI + " ms: " + event);
    }
}
