package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.HostId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

/**
 * Injects faults into a {@link SimulatedCluster} and keeps account of the hosts that count as lost. Records what the
 * hosts would recover if all of them lost their power.
 */
final class SimulatedFaults {
    /** The time after the start of a host during which the host still counts as lost. */
    static final long CATCH_UP_NANOS = 6 * SimulatedCluster.NANOS_PER_SECOND;

    private static final long RECOVERY_NANOS = 15 * SimulatedCluster.NANOS_PER_SECOND;
    private static final long REJOIN_NANOS = 12 * SimulatedCluster.NANOS_PER_SECOND;
    private static final long START_SPREAD_NANOS = 500 * SimulatedCluster.NANOS_PER_MILLI;
    private static final int MAX_RESIGNATIONS = 100;

    final SimulatedCluster cluster;
    final int tolerance;
    private final long seed;
    private final Map<HostId, Long> lostUntil = new TreeMap<>();
    private final Set<HostId> restartedWithDisk = new TreeSet<>();
    private final List<Moment> moments = new ArrayList<>();
    private final Set<String> recordedKeys = new HashSet<>();
    private long disturbedUntil;

    /** Starts a cluster whose first three hosts are the seeds, and waits until all hosts are members. */
    SimulatedFaults(long seed, Size size) {
        this.seed = seed;
        this.tolerance = size.tolerance();
        cluster = new SimulatedCluster(seed, size.targetVoters());
        List<HostId> seeds = List.of(host(1), host(2), host(3));
        IntStream.rangeClosed(1, size.hosts())
                .forEach(i -> cluster.add(host(i), seeds, cluster.emptyStorage(), true)
                        .start());
        if (!cluster.runUntil(cluster.now() + RECOVERY_NANOS, cluster::isComplete)) {
            throw new AssertionError("the hosts form no group: " + cluster.describe());
        }
        cluster.runFor(SimulatedCluster.NANOS_PER_SECOND);
    }

    static HostId host(int number) {
        return HostId.of("e" + number);
    }

    void electLeader(HostId desired) {
        for (int i = 0; i < MAX_RESIGNATIONS; i++) {
            cluster.runUntil(
                    cluster.now() + RECOVERY_NANOS, () -> cluster.leader().isPresent());
            SimulatedHost leader = cluster.leader().orElseThrow();
            if (leader.id.equals(desired)) {
                return;
            }
            leader.execute(leader.core::resign);
            cluster.runFor(SimulatedCluster.NANOS_PER_SECOND);
        }
        throw new AssertionError(desired + " never leads");
    }

    /** Stops a host and replaces its disk by an empty one; the host starts after the delay. */
    void loseDisk(HostId id, long delay) {
        SimulatedHost host = cluster.hosts.get(id);
        host.stop();
        host.loseDisk();
        restartedWithDisk.remove(id);
        startAfter(host, delay);
    }

    void restart(HostId id, long delay) {
        SimulatedHost host = cluster.hosts.get(id);
        host.stop();
        if (!lost().contains(id)) {
            restartedWithDisk.add(id);
        }
        startAfter(host, delay);
    }

    /** Restarts all hosts. The hosts that don't count as lost already don't do so because of it. */
    void restartAll(LongSupplier delay) {
        Set<HostId> before = lost();
        for (SimulatedHost host : cluster.running()) {
            host.stop();
            startAfter(host, delay.getAsLong());
        }
        lostUntil.keySet().retainAll(before);
    }

    /** Removes a host permanently and starts another one at a new address after the delay. */
    void replace(HostId id, HostId successor, List<HostId> seeds, long delay) {
        cluster.hosts.get(id).stop();
        cluster.hosts.remove(id);
        lostUntil.remove(id);
        startAfter(cluster.add(successor, seeds, cluster.emptyStorage(), false), delay);
    }

    private void startAfter(SimulatedHost host, long delay) {
        lostUntil.put(host.id, Math.max(disturbedUntil, cluster.now() + delay) + CATCH_UP_NANOS);
        cluster.schedule(delay, () -> {
            if (!host.isRunning()) {
                host.start();
            }
        });
    }

    /** Lets all hosts that count as lost do so until a catch-up time after the given time. */
    void extendLosses(long until) {
        lost();
        disturbedUntil = Math.max(disturbedUntil, until);
        lostUntil.replaceAll((host, end) -> Math.max(end, until + CATCH_UP_NANOS));
    }

    Set<HostId> lost() {
        lostUntil.values().removeIf(until -> until <= cluster.now());
        restartedWithDisk.retainAll(lostUntil.keySet());
        return new TreeSet<>(lostUntil.keySet());
    }

    /** Runs for a time and returns all moments at which the hosts would recover different states. */
    List<Moment> record(long duration, long interval) {
        cluster.onPersist((host, storage) -> addMoment(moment(host, storage)));
        for (long end = cluster.now() + duration; cluster.now() < end; ) {
            cluster.runFor(interval);
            addMoment(currentMoment());
        }
        return moments;
    }

    Moment currentMoment() {
        SimulatedHost any = cluster.hosts.values().iterator().next();
        return moment(any, any.storage);
    }

    private void addMoment(Moment moment) {
        if (recordedKeys.add(moment.key())) {
            moments.add(moment);
        }
    }

    private Moment moment(SimulatedHost changed, MemoryStorage storage) {
        Map<HostId, Disk> disks = new TreeMap<>();
        for (SimulatedHost host : cluster.hosts.values()) {
            MemoryStorage current = host == changed ? storage : host.storage;
            disks.put(host.id, new Disk(host.seeds, current.reopenAfterCrash()));
        }
        Set<HostId> lost = lost();
        Set<HostId> mayLoseDisk = new TreeSet<>(restartedWithDisk);
        return new Moment(
                this,
                cluster.now(),
                disks,
                lost,
                mayLoseDisk,
                new TreeMap<>(cluster.committed),
                cluster.nextCommand(),
                cluster.describe());
    }

    /**
     * Holds the size of a cluster.
     *
     * @param hosts the number of hosts
     * @param targetVoters the desired number of voters
     * @param tolerance the number of disks that may be lost together
     */
    record Size(int hosts, int targetVoters, int tolerance) {}

    /** Holds what a host would recover, and its settings. */
    record Disk(List<HostId> seeds, MemoryStorage storage) {}

    /** Holds what all hosts would recover at a time, and what must survive. */
    record Moment(
            SimulatedFaults faults,
            long time,
            Map<HostId, Disk> disks,
            Set<HostId> lost,
            Set<HostId> restartedWithDisk,
            Map<Long, LogEntry> committed,
            long nextCommand,
            String description) {

        private String key() {
            StringBuilder key =
                    new StringBuilder().append(lost).append(restartedWithDisk).append(committed.size());
            disks.forEach((id, disk) -> key.append(id)
                    .append(disk.storage().recovered().hardState())
                    .append(disk.storage().recovered().entries().size()));
            return key.toString();
        }

        /** Returns the largest sets of disks that may be lost together now. */
        List<Set<HostId>> allowedLosses() {
            List<HostId> others =
                    disks.keySet().stream().filter(host -> !lost.contains(host)).toList();
            List<Set<HostId>> result = new ArrayList<>();
            addSubsets(others, Math.max(0, faults.tolerance - lost.size()), restartedWithDisk, result);
            return result;
        }

        private static void addSubsets(List<HostId> from, int size, Set<HostId> chosen, List<Set<HostId>> result) {
            if (size == 0) {
                result.add(chosen);
                return;
            }
            for (int i = 0; i < from.size(); i++) {
                Set<HostId> more = new TreeSet<>(chosen);
                more.add(from.get(i));
                addSubsets(from.subList(i + 1, from.size()), size - 1, more, result);
            }
        }

        /**
         * Restarts all hosts, some without their disks, and checks that they recover: a leader with all committed
         * entries commits a command in time, and then all hosts are members again.
         */
        void checkRecoversWithout(Set<HostId> lostDisks) {
            SimulatedCluster restarted = new SimulatedCluster(faults.seed * 31 + time, faults.cluster.targetVoters());
            try {
                restartAll(restarted, lostDisks);
                check(restarted.runUntil(restarted.now() + RECOVERY_NANOS, restarted::commits), "no leader commits");
                restarted.checkHoldsAllCommitted();
                check(
                        restarted.runUntil(restarted.now() + REJOIN_NANOS, restarted::isComplete),
                        "hosts don't become members");
                restarted.checkHoldsAllCommitted();
            } catch (AssertionError e) {
                throw new AssertionError(
                        "%s after all hosts lost their power and %s their disks at %.3f s while %s counted as lost%n  before: %s%n  after: %s"
                                .formatted(
                                        e.getMessage(),
                                        lostDisks,
                                        (double) time / SimulatedCluster.NANOS_PER_SECOND,
                                        lost,
                                        description,
                                        restarted.describe()),
                        e);
            }
        }

        private void restartAll(SimulatedCluster restarted, Set<HostId> lostDisks) {
            restarted.committed.putAll(committed);
            restarted.startCommandsAt(nextCommand);
            disks.forEach((id, disk) -> {
                MemoryStorage storage = lostDisks.contains(id)
                        ? restarted.emptyStorage()
                        : disk.storage().reopenAfterCrash();
                SimulatedHost host = restarted.add(id, disk.seeds(), storage, false);
                restarted.schedule(restarted.random().nextLong(START_SPREAD_NANOS), host::start);
            });
            restarted.runFor(START_SPREAD_NANOS);
        }

        private static void check(boolean holds, String problem) {
            if (!holds) {
                throw new AssertionError(problem);
            }
        }
    }
}
