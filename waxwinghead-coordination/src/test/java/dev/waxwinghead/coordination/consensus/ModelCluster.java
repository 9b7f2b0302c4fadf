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

/** Plays one seeded history of deliveries, losses, crashes, pauses, disk losses and membership changes. */
final class ModelCluster {
    private static final long MILLI = 1_000_000;
    private static final int MAX_INFLIGHT = 60;

    final ModelInvariants invariants = new ModelInvariants();
    private final UniformRandomProvider random;
    private final RandomGenerator coreRandom;
    private final List<ModelNode> nodes = new ArrayList<>();
    private final List<Flight> flights = new ArrayList<>();
    private final Map<HostId, MemoryStorage> lostDisks = new HashMap<>();
    private final Set<ReplicaId> lostReplicas = new HashSet<>();
    private final int crashWeight;
    private final boolean losesDisks;
    private final boolean changesMembers;
    private HostId cutOff;
    private long now = 1;
    private long nextId;

    ModelCluster(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        coreRandom = random::nextLong;
        crashWeight = 1 + random.nextInt(10);
        losesDisks = random.nextBoolean();
        changesMembers = losesDisks || random.nextBoolean();
        boolean clocksDiffer = random.nextInt(3) == 0;
        int voters = random.nextInt(4) == 0 ? 5 : 3;
        int learners = random.nextInt(3);
        for (int i = 0; i < voters + learners; i++) {
            ModelNode node = new ModelNode(HostId.of("e" + i), i < voters, newReplica());
            node.clockQuarters = clocksDiffer ? 1 + random.nextInt(4) : 4;
            node.start(coreRandom, now);
            nodes.add(node);
        }
        List<Member> first =
                nodes.stream().filter(n -> n.wantsVote).map(ModelNode::wanted).toList();
        nodes.get(0).core.form(7, first);
    }

    void play(int steps) {
        for (int i = 0; i < steps; i++) {
            step(random.nextInt(1000));
            if (i % 64 == 0) {
                invariants.logsMatch(nodes);
            }
        }
        invariants.logsMatch(nodes);
    }

    private void step(int dice) {
        ModelNode node = nodes.get(random.nextInt(nodes.size()));
        if (dice < 640 && !flights.isEmpty()) {
            int reach = random.nextInt(8) == 0 ? flights.size() : Math.min(flights.size(), 6);
            deliver(random.nextInt(reach));
        } else if (dice < 790) {
            passTime();
        } else if (dice < 800) {
            lose();
        } else if (dice < 820 && !flights.isEmpty()) {
            addFlight(flights.get(random.nextInt(flights.size())));
        } else if (dice < 900) {
            propose(node);
        } else if (dice < 920) {
            read(node);
        } else if (dice < 950 && changesMembers) {
            changeMembership(node);
        } else if (dice < 950 + crashWeight) {
            crash(node);
        } else if (dice < 962) {
            node.frozenUntil = now + random.nextInt(400) * MILLI;
        } else if (dice < 968) {
            cutOff = random.nextInt(3) == 0 ? node.host : null;
        } else if (dice < 988) {
            node.compact();
        } else if (dice < 990 && losesDisks) {
            loseDisk(node);
        } else if (dice < 991) {
            findLostDisk(node);
        }
    }

    private void deliver(int position) {
        Flight flight = flights.get(position);
        ModelNode node = node(flight.outbound.to());
        if (node.core != null && !node.runs(now)) {
            flights.add(flights.remove(position));
            return;
        }
        flights.remove(position);
        boolean cut = flight.from.equals(cutOff) || node.host.equals(cutOff);
        if (node.core != null && !cut) {
            node.tick(now);
            node.core.receive(flight.from, recoded(flight.outbound.message()));
            settle(node);
        }
    }

    private Message recoded(Message message) {
        if (random.nextInt(16) != 0) {
            return message;
        }
        try {
            return MessageCodec.decode(MessageCodec.encode(message));
        } catch (MalformedMessageException e) {
            throw new AssertionError(e);
        }
    }

    private void passTime() {
        now += (2 + random.nextInt(30)) * MILLI;
        for (ModelNode node : nodes) {
            if (node.core == null && random.nextInt(8) == 0) {
                node.start(coreRandom, now);
            }
            if (node.runs(now)) {
                node.tick(now);
                settle(node);
            }
        }
    }

    private void lose() {
        if (!flights.isEmpty()) {
            flights.remove(random.nextInt(flights.size()));
        }
    }

    private void propose(ModelNode node) {
        if (node.runs(now)) {
            node.tick(now);
            int count = 1 + random.nextInt(4);
            for (int i = 0; i < count; i++) {
                node.core.propose(ByteBuffer.allocate(16).putLong(nextId++).array());
            }
            settle(node);
        }
    }

    private void read(ModelNode node) {
        if (node.runs(now)) {
            node.tick(now);
            long id = nextId++;
            node.readFloors.put(id, invariants.lastCommitted());
            node.core.requestRead(id);
            settle(node);
        }
    }

    private void changeMembership(ModelNode node) {
        for (ModelNode leader : nodes) {
            if (leader.runs(now) && leader.core.isLeader()) {
                leader.tick(now);
                if (random.nextInt(20) == 0) {
                    leader.core.remove(node.host);
                } else if (node.core != null) {
                    leader.core.join(node.wanted());
                }
                settle(leader);
            }
        }
    }

    /** Kills the leader, if the history has one and the dice say so, or else the node. */
    private void crash(ModelNode node) {
        nodes.stream()
                .filter(n -> n.core != null && n.core.isLeader() && random.nextBoolean())
                .findFirst()
                .orElse(node)
                .crash();
    }

    /** Empties a disk, unless another voter's disk is lost and not yet replaced. */
    private void loseDisk(ModelNode node) {
        boolean voterLost = nodes.stream()
                .map(n -> Optional.ofNullable(n.core))
                .flatMap(Optional::stream)
                .flatMap(core -> core.membership().voters().stream())
                .anyMatch(voter -> lostReplicas.contains(voter.replica()));
        boolean allRun = nodes.stream().allMatch(n -> n.core != null);
        if (voterLost || !allRun) {
            return;
        }
        invariants.diskLosses++;
        node.crash();
        lostReplicas.add(node.replica());
        lostDisks.put(node.host, node.storage);
        node.storage = MemoryStorage.create(newReplica());
        node.start(coreRandom, now);
    }

    /** Starts a host from the disk that it had lost. */
    private void findLostDisk(ModelNode node) {
        MemoryStorage found = lostDisks.remove(node.host);
        if (found != null && node.core != null) {
            node.crash();
            lostReplicas.add(node.replica());
            node.storage = found;
            node.start(coreRandom, now);
        }
    }

    /** Carries out what the node has to do, or leaves it for the next event to share its sync. */
    private void settle(ModelNode node) {
        if (random.nextInt(4) == 0) {
            return;
        }
        Ready ready = node.core.ready();
        while (!ready.isEmpty()) {
            int diesAt = ready.writes() && random.nextInt(120) == 0 ? 1 + random.nextInt(3) : 0;
            if (!node.carryOut(ready, diesAt, outbound -> send(node, outbound))) {
                node.crash();
                return;
            }
            apply(node, ready);
            ready = node.core.ready();
        }
        invariants.stepped(node);
    }

    private void apply(ModelNode node, Ready ready) {
        ready.snapshot().ifPresent(snapshot -> {
            node.restore(snapshot);
            invariants.installs++;
            invariants.sameState(node);
        });
        ready.committed().forEach(entry -> {
            node.apply(entry);
            invariants.applied(node, entry);
        });
        ready.confirmedReads().forEach(read -> invariants.read(node.readFloors.remove(read.id()), read.index()));
        ready.failedReads().forEach(node.readFloors::remove);
    }

    private void send(ModelNode from, Ready.Outbound outbound) {
        if (outbound.message() instanceof Message.VoteResponse vote) {
            invariants.voted(from, vote);
        }
        addFlight(new Flight(from.host, outbound));
    }

    private void addFlight(Flight flight) {
        flights.add(flight);
        if (flights.size() > MAX_INFLIGHT) {
            flights.remove(0);
        }
    }

    private ModelNode node(HostId host) {
        return nodes.stream().filter(n -> n.host.equals(host)).findFirst().orElseThrow();
    }

    private ReplicaId newReplica() {
        return ReplicaId.of("r" + nextId++);
    }

    /** Holds a message on its way. */
    private record Flight(HostId from, Ready.Outbound outbound) {}
}
