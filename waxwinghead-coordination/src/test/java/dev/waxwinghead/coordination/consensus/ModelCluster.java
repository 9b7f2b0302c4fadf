package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage.Recovered;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates a cluster through a seeded history of deliveries, message losses, crashes, pauses, disk losses, disks that
 * refuse writes and membership changes.
 */
final class ModelCluster {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_IN_FLIGHT_MESSAGES = 60;
    private static final long ELECTION_TIMEOUT_NANOS =
            ModelNode.SETTINGS.electionTimeoutMax().toNanos();
    /** Each election fails with a probability below one half, so that this many leave no doubt. */
    private static final int MAX_ELECTION_TIMEOUTS = 20;

    private static final int STEADY_ELECTION_TIMEOUTS = 6;
    private static final long ROUND_NANOS = 5 * NANOS_PER_MILLI;

    final ModelInvariants invariants = new ModelInvariants();
    private final UniformRandomProvider random;
    private final RandomGenerator coreRandom;
    private final List<ModelNode> nodes = new ArrayList<>();
    private final List<InFlightMessage> inFlight = new ArrayList<>();
    private final Map<HostId, MemoryStorage> lostDisks = new HashMap<>();
    private final Set<ReplicaId> replicasOfLostDisks = new HashSet<>();
    private final int crashWeight;
    private final boolean losesDisks;
    private final boolean changesMembers;
    private final boolean refusesWrites;
    private final boolean clockRatesDiffer;
    private final Map<ReplicaId, MemoryStorage> abandonedDisks = new HashMap<>();
    private boolean faultsEnded;
    /** The bound, exclusive, of the writes that a full disk takes before it refuses. */
    private int remainingWritesBound = 3;

    private HostId isolatedHost;
    private long now = 1;
    private long nextId;
    private long lastAppliedId = -1;

    ModelCluster(long seed) {
        this(seed, false);
    }

    /** Creates a cluster; its disks may refuse writes if the flag is set, which leads to other histories. */
    ModelCluster(long seed, boolean refusesWrites) {
        this.refusesWrites = refusesWrites;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        coreRandom = random::nextLong;
        crashWeight = 1 + random.nextInt(10);
        losesDisks = random.nextBoolean();
        changesMembers = losesDisks || random.nextBoolean();
        clockRatesDiffer = random.nextInt(3) == 0;
        int voters = random.nextInt(4) == 0 ? 5 : 3;
        int learners = random.nextInt(3);
        for (int i = 0; i < voters + learners; i++) {
            ModelNode node = new ModelNode(HostId.of("e" + i), i < voters, newReplica());
            node.clockRateQuarters = clockRatesDiffer ? 1 + random.nextInt(4) : 4;
            node.start(coreRandom, now);
            nodes.add(node);
        }
        List<Member> first = nodes.stream()
                .filter(n -> n.requestsVote)
                .map(ModelNode::desiredMember)
                .toList();
        nodes.get(0).core.formGroup(7, first);
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            if (!refusesWrites || !stepOfDisks()) {
                step(random.nextInt(1000));
            }
            if (i % 64 == 0) {
                invariants.checkLogsMatch(nodes);
            }
        }
        invariants.checkLogsMatch(nodes);
    }

    /** Fills or empties disks, or lets replicas try their disks again. Returns false if another step is due. */
    private boolean stepOfDisks() {
        int eventNumber = random.nextInt(200);
        if (eventNumber < 3) {
            fill(nodes.get(random.nextInt(nodes.size())));
        } else if (eventNumber < 4) {
            nodes.stream().filter(node -> random.nextInt(4) != 0).forEach(this::fill);
        } else if (eventNumber < 5) {
            nodes.forEach(this::fill);
        } else if (eventNumber < 9) {
            nodes.get(random.nextInt(nodes.size())).diskFull = false;
        } else if (eventNumber < 11) {
            nodes.forEach(node -> node.diskFull = false);
        } else if (eventNumber < 20) {
            nodes.forEach(this::resume);
        } else {
            return false;
        }
        return true;
    }

    private void fill(ModelNode node) {
        node.diskFull = true;
        node.remainingWrites = random.nextInt(remainingWritesBound);
    }

    /** Tries the disk of a node; as in the loop of a replica, what is missing is written at once. */
    private void resume(ModelNode node) {
        if (!node.isRunning(now) || !node.core.refusesWrites()) {
            return;
        }
        node.tick(now);
        if (node.diskFull) {
            node.remainingWrites = random.nextInt(remainingWritesBound);
        }
        if (node.resume()) {
            invariants.resumptions++;
            processAll(node);
        }
    }

    private void compact(ModelNode node) {
        if (!node.compact()) {
            invariants.refusedCompactions++;
        }
    }

    /**
     * Ends all faults except that the disks of some hosts still refuse writes, and checks that changes are committed as
     * long as a majority of the voters writes. Then fills all disks and checks that the leader remains.
     */
    void checkProgress() {
        endFaults();
        if (clockRatesDiffer || !majorityWrites()) {
            return;
        }
        fillMinority();
        boolean refusing = nodes.stream().anyMatch(node -> node.diskFull);
        invariants.checkProgress(commitsWithin(MAX_ELECTION_TIMEOUTS), MAX_ELECTION_TIMEOUTS);
        invariants.progressChecksWhileRefusing += refusing ? 1 : 0;
        nodes.forEach(node -> node.diskFull = false);
        invariants.checkProgress(commitsWithin(MAX_ELECTION_TIMEOUTS), MAX_ELECTION_TIMEOUTS);
        checkLeaderRemains();
        nodes.forEach(node -> node.diskFull = false);
        invariants.checkProgress(commitsWithin(MAX_ELECTION_TIMEOUTS), MAX_ELECTION_TIMEOUTS);
        invariants.checkLogsMatch(nodes);
    }

    private void endFaults() {
        faultsEnded = true;
        isolatedHost = null;
        for (ModelNode node : nodes) {
            node.diskFull = false;
            node.pausedUntil = now;
            if (node.core == null) {
                node.start(coreRandom, now);
            }
        }
    }

    /** Returns whether, by each replica's membership, a majority of the voters knows the group and can write. */
    private boolean majorityWrites() {
        Set<ReplicaId> writing = nodes.stream()
                .filter(node -> !node.diskFull && node.core.hasGroup())
                .map(ModelNode::replica)
                .collect(Collectors.toSet());
        List<List<Member>> memberships = nodes.stream()
                .filter(node -> node.core.hasGroup())
                .map(node -> node.core.membership().voters())
                .toList();
        return !memberships.isEmpty()
                && memberships.stream()
                        .allMatch(voters -> voters.stream()
                                        .filter(voter -> writing.contains(voter.replica()))
                                        .count()
                                > voters.size() / 2);
    }

    /** Fills as many disks as possible, the leaders' first in half of the histories. */
    private void fillMinority() {
        boolean leadersFirst = random.nextBoolean();
        List<ModelNode> candidates = new ArrayList<>(nodes);
        Collections.rotate(candidates, random.nextInt(candidates.size()));
        if (leadersFirst) {
            candidates.sort(Comparator.comparing(node -> !node.core.isLeader()));
        }
        for (ModelNode node : candidates) {
            fill(node);
            if (!majorityWrites()) {
                node.diskFull = false;
            }
        }
    }

    private boolean commitsWithin(int electionTimeouts) {
        long firstId = nextId;
        long end = now + electionTimeouts * ELECTION_TIMEOUT_NANOS;
        while (now < end && lastAppliedId < firstId) {
            round();
        }
        return lastAppliedId >= firstId;
    }

    /** Delivers everything, lets replicas try their disks again and proposes a change to each leader. */
    private void round() {
        now += ROUND_NANOS;
        for (ModelNode node : nodes) {
            node.tick(now);
            if (node.core.isLeader() && node.core.canCommit()) {
                node.core.propose(ByteBuffer.allocate(16).putLong(nextId++).array());
            }
            processReady(node);
        }
        int count = inFlight.size();
        for (int i = 0; i < count; i++) {
            deliver(0);
        }
    }

    private void resumeIfDue(ModelNode node) {
        if (node.core.refusesWrites() && now >= node.resumeAt) {
            node.resumeAt = now + (1 + random.nextInt(8)) * ROUND_NANOS;
            resume(node);
        }
    }

    private void checkLeaderRemains() {
        Optional<ModelNode> current = settledLeader();
        if (current.isEmpty()) {
            return;
        }
        ModelNode leader = current.get();
        long term = leader.core.term();
        remainingWritesBound = 2; // A resumption succeeds at times, but no write after it.
        nodes.forEach(node -> {
            node.diskFull = true;
            node.remainingWrites = 0;
        });
        if (random.nextBoolean()) {
            nodes.forEach(this::compact);
        }
        long end = now + STEADY_ELECTION_TIMEOUTS * ELECTION_TIMEOUT_NANOS;
        while (now < end) {
            round();
            invariants.checkSteady(leader, term);
        }
        invariants.steadyLeaders++;
    }

    /** Returns the leader that a majority of the voters follows in a term that is on their disks. */
    private Optional<ModelNode> settledLeader() {
        round();
        round();
        return nodes.stream()
                .filter(node -> node.core.isLeader())
                .max(Comparator.comparingLong(node -> node.core.term()))
                .filter(leader -> {
                    List<Member> voters = leader.core.membership().voters();
                    return voters.stream()
                                    .filter(voter ->
                                            disk(voter.replica()).hardState().term() == leader.core.term()
                                                    && node(voter.host()).core.term() == leader.core.term())
                                    .count()
                            > voters.size() / 2;
                });
    }

    private void step(int eventNumber) {
        ModelNode node = nodes.get(random.nextInt(nodes.size()));
        if (eventNumber < 640 && !inFlight.isEmpty()) {
            int deliverableCount = random.nextInt(8) == 0 ? inFlight.size() : Math.min(inFlight.size(), 6);
            deliver(random.nextInt(deliverableCount));
        } else if (eventNumber < 790) {
            advanceTime();
        } else if (eventNumber < 800) {
            dropMessage();
        } else if (eventNumber < 820 && !inFlight.isEmpty()) {
            addInFlight(inFlight.get(random.nextInt(inFlight.size())));
        } else if (eventNumber < 900) {
            propose(node);
        } else if (eventNumber < 920) {
            read(node);
        } else if (eventNumber < 950 && changesMembers) {
            changeMembership(node);
        } else if (eventNumber < 950 + crashWeight) {
            crash(node);
        } else if (eventNumber < 962) {
            node.pausedUntil = now + random.nextInt(400) * NANOS_PER_MILLI;
        } else if (eventNumber < 968) {
            isolatedHost = random.nextInt(3) == 0 ? node.host : null;
        } else if (eventNumber < 988) {
            compact(node);
        } else if (eventNumber < 990 && losesDisks) {
            loseDisk(node);
        } else if (eventNumber < 991) {
            restoreLostDisk(node);
        }
    }

    private void deliver(int position) {
        InFlightMessage message = inFlight.get(position);
        ModelNode node = node(message.outbound.to());
        if (node.core != null && !node.isRunning(now)) {
            inFlight.add(inFlight.remove(position));
            return;
        }
        inFlight.remove(position);
        boolean isolated = message.from.equals(isolatedHost) || node.host.equals(isolatedHost);
        if (node.core != null && !isolated) {
            node.tick(now);
            Message received = encodeAndDecode(message.outbound.message());
            checkingCommit(node, () -> node.core.receive(message.from, received));
            processReady(node);
        }
    }

    private Message encodeAndDecode(Message message) {
        if (random.nextInt(16) != 0) {
            return message;
        }
        try {
            return MessageCodec.decode(MessageCodec.encode(message));
        } catch (MalformedMessageException e) {
            throw new AssertionError(e);
        }
    }

    private void advanceTime() {
        now += (2 + random.nextInt(30)) * NANOS_PER_MILLI;
        for (ModelNode node : nodes) {
            if (node.core == null && random.nextInt(8) == 0) {
                node.start(coreRandom, now);
            }
            if (node.isRunning(now)) {
                node.tick(now);
                processReady(node);
            }
        }
    }

    private void dropMessage() {
        if (!inFlight.isEmpty()) {
            inFlight.remove(random.nextInt(inFlight.size()));
        }
    }

    private void propose(ModelNode node) {
        if (node.isRunning(now)) {
            node.tick(now);
            int count = 1 + random.nextInt(4);
            for (int i = 0; i < count; i++) {
                node.core.propose(ByteBuffer.allocate(16).putLong(nextId++).array());
            }
            processReady(node);
        }
    }

    private void read(ModelNode node) {
        if (node.isRunning(now)) {
            node.tick(now);
            long id = nextId++;
            node.minReadIndexes.put(id, invariants.lastCommitted());
            node.core.requestRead(id);
            processReady(node);
        }
    }

    private void changeMembership(ModelNode node) {
        for (ModelNode leader : nodes) {
            if (leader.isRunning(now) && leader.core.isLeader()) {
                leader.tick(now);
                if (random.nextInt(20) == 0) {
                    leader.core.remove(node.host);
                } else if (node.core != null) {
                    leader.core.join(node.desiredMember());
                }
                processReady(leader);
            }
        }
    }

    /** Crashes the leader, if there is one, with a probability of one half; otherwise crashes the given node. */
    private void crash(ModelNode node) {
        nodes.stream()
                .filter(n -> n.core != null && n.core.isLeader() && random.nextBoolean())
                .findFirst()
                .ifPresentOrElse(this::crashNode, () -> crashNode(node));
    }

    private void crashNode(ModelNode node) {
        if (node.core != null && node.core.refusesWrites()) {
            invariants.crashesWhileRefusing++;
        }
        node.crash();
    }

    /**
     * Replaces the disk of a node by an empty one. Does nothing while a node is down, or while a voter whose disk was
     * lost is still in a membership.
     */
    private void loseDisk(ModelNode node) {
        boolean voterDiskLost = nodes.stream()
                .map(n -> Optional.ofNullable(n.core))
                .flatMap(Optional::stream)
                .flatMap(core -> core.membership().voters().stream())
                .anyMatch(voter -> replicasOfLostDisks.contains(voter.replica()));
        boolean allRunning = nodes.stream().allMatch(n -> n.core != null);
        if (voterDiskLost || !allRunning) {
            return;
        }
        invariants.diskLosses++;
        if (node.core.refusesWrites()) {
            invariants.diskLossesWhileRefusing++;
        }
        node.crash();
        replicasOfLostDisks.add(node.replica());
        lostDisks.put(node.host, node.storage);
        abandonedDisks.put(node.replica(), node.storage);
        node.storage = MemoryStorage.create(newReplica());
        node.start(coreRandom, now);
    }

    /** Restarts a host with the disk that it had lost. */
    private void restoreLostDisk(ModelNode node) {
        MemoryStorage lostDisk = lostDisks.remove(node.host);
        if (lostDisk != null && node.core != null) {
            node.crash();
            replicasOfLostDisks.add(node.replica());
            abandonedDisks.put(node.replica(), node.storage);
            node.storage = lostDisk;
            node.start(coreRandom, now);
        }
    }

    /** Processes the pending work of a node, or leaves it for a later event to share one sync. */
    private void processReady(ModelNode node) {
        if (faultsEnded) {
            resumeIfDue(node);
            processAll(node);
        } else if (random.nextInt(4) != 0) {
            processAll(node);
        }
    }

    private void processAll(ModelNode node) {
        Ready ready = node.core.ready();
        while (!ready.isEmpty()) {
            boolean crashes = !faultsEnded && ready.requiresSync() && random.nextInt(120) == 0;
            if (!process(node, ready, crashes ? 1 + random.nextInt(3) : 0)) {
                node.crash();
                return;
            }
            ready = node.core.ready();
        }
        invariants.checkLeader(node);
        invariants.checkResigned(node);
    }

    /** Returns whether the node survived. */
    private boolean process(ModelNode node, Ready ready, int crashPoint) {
        if (node.diskFull && writeCount(ready) > 1 && random.nextInt(4) == 0) {
            node.remainingWrites = 1;
        }
        int writesBefore = node.remainingWrites;
        ModelNode.Outcome outcome =
                checkingCommit(node, () -> node.process(ready, crashPoint, outbound -> send(node, outbound)));
        if (outcome == ModelNode.Outcome.STORED) {
            apply(node, ready);
        } else if (outcome == ModelNode.Outcome.REFUSED) {
            recordRefusal(node, ready, writesBefore);
        }
        if (outcome != ModelNode.Outcome.CRASHED) {
            completeReads(node, ready);
        }
        return outcome != ModelNode.Outcome.CRASHED;
    }

    private static int writeCount(Ready ready) {
        return (ready.hardState().isPresent() ? 1 : 0)
                + (ready.snapshot().isPresent() ? 1 : 0)
                + (ready.entries().isEmpty() ? 0 : 1);
    }

    private void recordRefusal(ModelNode node, Ready ready, int writesBefore) {
        invariants.refusedHardStates += ready.hardState().isPresent() ? 1 : 0;
        invariants.refusedSnapshots += ready.snapshot().isPresent() ? 1 : 0;
        invariants.refusedEntries += ready.entries().isEmpty() ? 0 : 1;
        if (writesBefore > 0) {
            invariants.partialWrites++;
            if (random.nextBoolean()) {
                node.storage.sync();
            }
        }
    }

    /** Runs an action on a node and checks what the node has committed by it as the leader. */
    private <T> T checkingCommit(ModelNode node, Supplier<T> action) {
        boolean leads = node.core.isLeader();
        long term = node.core.term();
        long commitIndex = node.core.commitIndex();
        T result = action.get();
        if (leads && node.core.term() == term && node.core.commitIndex() > commitIndex) {
            invariants.checkStoredByMajority(node, this::disk);
        }
        return result;
    }

    /** Returns what a replica would recover now, also from a disk that its host has lost. */
    private Recovered disk(ReplicaId replica) {
        return nodes.stream()
                .filter(node -> node.replica().equals(replica))
                .findFirst()
                .map(node -> node.storage)
                .orElseGet(() -> abandonedDisks.get(replica))
                .reopenAfterCrash()
                .recovered();
    }

    private void apply(ModelNode node, Ready ready) {
        ready.snapshot().ifPresent(snapshot -> {
            node.restore(snapshot);
            invariants.installedSnapshots++;
            invariants.checkSameState(node);
        });
        ready.committed().forEach(entry -> {
            node.apply(entry);
            invariants.checkApplied(node, entry);
            if (entry.kind() == LogEntry.Kind.COMMAND) {
                lastAppliedId =
                        Math.max(lastAppliedId, ByteBuffer.wrap(entry.payload()).getLong());
            }
        });
    }

    private void completeReads(ModelNode node, Ready ready) {
        ready.confirmedReads()
                .forEach(read -> invariants.checkConfirmedRead(node.minReadIndexes.remove(read.id()), read.index()));
        ready.failedReads().forEach(node.minReadIndexes::remove);
    }

    private void send(ModelNode from, Ready.Outbound outbound) {
        if (outbound.message() instanceof Message.VoteResponse vote) {
            invariants.checkVote(from, vote);
        }
        if (outbound.message() instanceof Message.VoteRequest request) {
            invariants.checkCandidacy(request);
        }
        if (refusesWrites) {
            invariants.checkPromise(from, outbound.message());
        }
        addInFlight(new InFlightMessage(from.host, outbound));
    }

    private void addInFlight(InFlightMessage message) {
        inFlight.add(message);
        if (!faultsEnded && inFlight.size() > MAX_IN_FLIGHT_MESSAGES) {
            inFlight.remove(0);
        }
    }

    private ModelNode node(HostId host) {
        return nodes.stream().filter(n -> n.host.equals(host)).findFirst().orElseThrow();
    }

    private ReplicaId newReplica() {
        return ReplicaId.of("r" + nextId++);
    }

    /** Represents a message between nodes that wasn't delivered yet. */
    private record InFlightMessage(HostId from, Ready.Outbound outbound) {}
}
