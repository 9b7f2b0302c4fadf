package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.Membership;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates hosts on virtual time, with a deterministic course for each seed. */
final class SimulatedCluster {
    static final long NANOS_PER_MILLI = 1_000_000;
    static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
    private static final long LINK_NANOS = 500_000;
    private static final long PROPOSAL_NANOS = 250 * NANOS_PER_MILLI;

    final Map<HostId, SimulatedHost> hosts = new TreeMap<>();
    final Map<Long, LogEntry> committed = new TreeMap<>();
    private final int targetVoters;
    private final UniformRandomProvider random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
    private Set<HostId> half = Set.of();
    private PersistListener listener = (host, storage) -> {};
    private long now = NANOS_PER_SECOND;
    private long sequence;
    private long nextCommand;
    private long firstRecentCommand;
    private long lastCommittedCommand = -1;
    private int nextReplica;

    SimulatedCluster(long seed, int targetVoters) {
        this.targetVoters = targetVoters;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        schedule(PROPOSAL_NANOS, this::proposePeriodically);
    }

    int targetVoters() {
        return targetVoters;
    }

    RandomGenerator random() {
        return random::nextLong;
    }

    long now() {
        return now;
    }

    void onPersist(PersistListener newListener) {
        listener = newListener;
    }

    void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    /** Runs to the time or until the condition holds after an event. Returns whether the condition holds. */
    boolean runUntil(long end, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (events.peek().time() > end) {
                now = end;
                return false;
            }
            step();
        }
        return true;
    }

    void runFor(long duration) {
        runUntil(now + duration, () -> false);
    }

    private void step() {
        Event event = events.remove();
        now = event.time();
        event.action().run();
    }

    MemoryStorage emptyStorage() {
        return MemoryStorage.create(ReplicaId.of("r" + nextReplica++ + "-" + Long.toHexString(random.nextLong())));
    }

    SimulatedHost add(HostId id, List<HostId> seeds, MemoryStorage storage, boolean mayFormGroup) {
        SimulatedHost host = new SimulatedHost(this, id, seeds, storage, mayFormGroup);
        hosts.put(id, host);
        return host;
    }

    /** Cuts all connections between the given hosts and the others. */
    void split(Set<HostId> newHalf) {
        half = newHalf;
    }

    void heal() {
        half = Set.of();
    }

    boolean isConnected(HostId from, HostId to) {
        SimulatedHost receiver = hosts.get(to);
        return receiver != null && receiver.isRunning() && half.contains(from) == half.contains(to);
    }

    void send(SimulatedHost from, HostId to, Consumer<SimulatedHost> message) {
        if (!isConnected(from.id, to)) {
            return;
        }
        SimulatedHost receiver = hosts.get(to);
        MemoryStorage receiverStorage = receiver.storage;
        schedule(LINK_NANOS, () -> {
            boolean sameStart = receiver.storage == receiverStorage;
            if (sameStart && isConnected(from.id, to)) {
                message.accept(receiver);
            }
        });
    }

    void onPersisted(SimulatedHost host, MemoryStorage storage) {
        listener.onPersisted(host, storage);
    }

    void recordCommitted(LogEntry entry) {
        LogEntry known = committed.putIfAbsent(entry.index(), entry);
        if (known != null && !isSame(known, entry)) {
            throw new AssertionError("entry " + entry.index() + " was committed twice with different contents");
        }
        if (entry.kind() == LogEntry.Kind.COMMAND) {
            lastCommittedCommand = Math.max(
                    lastCommittedCommand, ByteBuffer.wrap(entry.payload()).getLong());
        }
    }

    private static boolean isSame(LogEntry a, LogEntry b) {
        return a.term() == b.term() && a.kind() == b.kind() && Arrays.equals(a.payload(), b.payload());
    }

    private void proposePeriodically() {
        schedule(PROPOSAL_NANOS, this::proposePeriodically);
        leader().ifPresent(leader ->
                leader.propose(ByteBuffer.allocate(8).putLong(nextCommand++).array()));
    }

    Optional<SimulatedHost> leader() {
        return hosts.values().stream()
                .filter(SimulatedHost::isLeader)
                .max(Comparator.comparingLong(host -> host.core.term()));
    }

    Collection<SimulatedHost> running() {
        return hosts.values().stream().filter(SimulatedHost::isRunning).toList();
    }

    /** Returns whether a command from the first one of {@link #startCommandsAt} on is committed. */
    boolean commits() {
        return lastCommittedCommand >= firstRecentCommand;
    }

    void startCommandsAt(long first) {
        nextCommand = first;
        firstRecentCommand = first;
    }

    long nextCommand() {
        return nextCommand;
    }

    /** Checks that the leader holds all entries that were ever committed. */
    void checkHoldsAllCommitted() {
        SimulatedHost leader = leader().orElseThrow();
        committed.forEach((index, entry) -> {
            if (index > leader.core.lastIndex() || !isSame(leader.core.entry(index), entry)) {
                throw new AssertionError("the leader " + leader.id + " lacks committed entry " + index);
            }
        });
    }

    /** Returns whether all running hosts are members and as many of them vote as possible, and no others. */
    boolean isComplete() {
        return leader().map(leader -> isComplete(leader)).orElse(false);
    }

    private boolean isComplete(SimulatedHost leader) {
        Membership membership = leader.core.membership();
        Set<ReplicaId> live =
                running().stream().map(host -> host.storage.replicaId()).collect(Collectors.toSet());
        Set<ReplicaId> members =
                membership.members().stream().map(Member::replica).collect(Collectors.toSet());
        List<ReplicaId> voters =
                membership.voters().stream().map(Member::replica).toList();
        return leader.core.isMembershipCommitted()
                && members.containsAll(live)
                && live.containsAll(voters)
                && voters.size() == Math.min(targetVoters, live.size());
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        for (SimulatedHost host : hosts.values()) {
            text.append(host.id).append('=');
            if (host.isRunning()) {
                text.append(host.core.role())
                        .append(" t")
                        .append(host.core.term())
                        .append(" last ")
                        .append(host.core.lastIndex())
                        .append(" voters ")
                        .append(host.core.membership().voters().stream()
                                .map(voter -> voter.host() + (isLive(voter) ? "" : "(gone)"))
                                .toList());
            } else {
                text.append(host.failure.map(Throwable::getMessage).orElse("down"));
            }
            text.append("; ");
        }
        return text.toString();
    }

    private boolean isLive(Member member) {
        SimulatedHost host = hosts.get(member.host());
        return host != null && host.isRunning() && host.storage.replicaId().equals(member.replica());
    }

    /** Is notified when the state that a host would recover changes. */
    @FunctionalInterface
    interface PersistListener {
        void onPersisted(SimulatedHost host, MemoryStorage storage);
    }

    private record Event(long time, long sequence, Runnable action) {}
}
