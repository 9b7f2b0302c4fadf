package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.memory.MemoryStorage;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates a cluster through a seeded history of deliveries, message losses, crashes, pauses, disk losses and
 * membership changes.
 */
final class ModelCluster {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_IN_FLIGHT_MESSAGES = 60;

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
    private HostId isolatedHost;
    private long now = 1;
    private long nextId;

    ModelCluster(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        coreRandom = random::nextLong;
        crashWeight = 1 + random.nextInt(10);
        losesDisks = random.nextBoolean();
        changesMembers = losesDisks || random.nextBoolean();
        boolean clockRatesDiffer = random.nextInt(3) == 0;
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
            step(random.nextInt(1000));
            if (i % 64 == 0) {
                invariants.checkLogsMatch(nodes);
            }
        }
        invariants.checkLogsMatch(nodes);
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
            node.compact();
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
            node.core.receive(message.from, encodeAndDecode(message.outbound.message()));
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
                .orElse(node)
                .crash();
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
        node.crash();
        replicasOfLostDisks.add(node.replica());
        lostDisks.put(node.host, node.storage);
        node.storage = MemoryStorage.create(newReplica());
        node.start(coreRandom, now);
    }

    /** Restarts a host with the disk that it had lost. */
    private void restoreLostDisk(ModelNode node) {
        MemoryStorage lostDisk = lostDisks.remove(node.host);
        if (lostDisk != null && node.core != null) {
            node.crash();
            replicasOfLostDisks.add(node.replica());
            node.storage = lostDisk;
            node.start(coreRandom, now);
        }
    }

    /** Processes the pending work of a node, or leaves it for a later event to share one sync. */
    private void processReady(ModelNode node) {
        if (random.nextInt(4) == 0) {
            return;
        }
        Ready ready = node.core.ready();
        while (!ready.isEmpty()) {
            int crashPoint = ready.requiresSync() && random.nextInt(120) == 0 ? 1 + random.nextInt(3) : 0;
            if (!node.process(ready, crashPoint, outbound -> send(node, outbound))) {
                node.crash();
                return;
            }
            apply(node, ready);
            ready = node.core.ready();
        }
        invariants.checkLeader(node);
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
        });
        ready.confirmedReads()
                .forEach(read -> invariants.checkConfirmedRead(node.minReadIndexes.remove(read.id()), read.index()));
        ready.failedReads().forEach(node.minReadIndexes::remove);
    }

    private void send(ModelNode from, Ready.Outbound outbound) {
        if (outbound.message() instanceof Message.VoteResponse vote) {
            invariants.checkVote(from, vote);
        }
        addInFlight(new InFlightMessage(from.host, outbound));
    }

    private void addInFlight(InFlightMessage message) {
        inFlight.add(message);
        if (inFlight.size() > MAX_IN_FLIGHT_MESSAGES) {
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
