package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage.Recovered;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Records the history of a {@link ModelCluster} and throws an {@link AssertionError} if the history violates an
 * invariant.
 */
final class ModelInvariants {
    private final Map<Long, ReplicaId> leadersByTerm = new HashMap<>();
    private final Map<Long, Committed> committedByIndex = new HashMap<>();
    private final Map<Long, Long> stateHashesByIndex = new HashMap<>();
    private final Map<Ballot, ReplicaId> votes = new HashMap<>();
    private long lastCommitted;
    int installedSnapshots;
    int confirmedReads;
    int committedMemberships;
    int diskLosses;
    int refusedHardStates;
    int refusedEntries;
    int refusedSnapshots;
    int refusedCompactions;
    int partialWrites;
    int resumptions;
    int crashesWhileRefusing;
    int diskLossesWhileRefusing;
    int progressChecksWhileRefusing;
    int steadyLeaders;

    long lastCommitted() {
        return lastCommitted;
    }

    Map<String, Integer> refusalCounts() {
        return Map.ofEntries(
                Map.entry("refused hard states", refusedHardStates),
                Map.entry("refused entries", refusedEntries),
                Map.entry("refused received snapshots", refusedSnapshots),
                Map.entry("refused own snapshots", refusedCompactions),
                Map.entry("partial writes", partialWrites),
                Map.entry("resumptions", resumptions),
                Map.entry("crashes while refusing", crashesWhileRefusing),
                Map.entry("disk losses while refusing", diskLossesWhileRefusing),
                Map.entry("progress with refusing hosts", progressChecksWhileRefusing),
                Map.entry("leaders that remain", steadyLeaders),
                Map.entry("committed entries", (int) lastCommitted),
                Map.entry("confirmed reads", confirmedReads),
                Map.entry("committed memberships", committedMemberships),
                Map.entry("leaders", leaderCount()));
    }

    int leaderCount() {
        return leadersByTerm.size();
    }

    void checkApplied(ModelNode node, LogEntry entry) {
        check(entry.index() == node.applied, "entries are applied in order");
        Committed now = new Committed(entry.term(), ModelNode.hash(entry), node.core.term());
        Committed first = committedByIndex.putIfAbsent(entry.index(), now);
        check(
                first == null || (first.term == now.term && first.hash == now.hash),
                "all replicas apply the same entry at " + entry.index());
        if (first == null && entry.kind() == LogEntry.Kind.MEMBERSHIP && entry.index() > 1) {
            committedMemberships++;
        }
        lastCommitted = Math.max(lastCommitted, entry.index());
        checkSameState(node);
    }

    void checkSameState(ModelNode node) {
        Long first = stateHashesByIndex.putIfAbsent(node.applied, node.stateHash);
        check(first == null || first == node.stateHash, "all replicas have the same state at " + node.applied);
    }

    void checkVote(ModelNode node, Message.VoteResponse vote) {
        ReplicaId candidate = vote.header().to();
        boolean removed = node.core.membership().removed().contains(candidate);
        check(!vote.granted() || !removed, "no node votes for a replica that it knows to be removed");
        if (vote.granted() && !vote.preVote()) {
            recordVote(node.replica(), vote.header().term(), candidate);
        }
    }

    void checkCandidacy(Message.VoteRequest request) {
        if (!request.preVote()) {
            ReplicaId candidate = request.header().from();
            recordVote(candidate, request.header().term(), candidate);
        }
    }

    private void recordVote(ReplicaId voter, long term, ReplicaId candidate) {
        ReplicaId first = votes.putIfAbsent(new Ballot(voter, term), candidate);
        check(first == null || first.equals(candidate), voter + " votes once in term " + term);
    }

    /** Checks that a node whose disk refuses writes acknowledges nothing, and that what a node promises is on disk. */
    void checkPromise(ModelNode node, Message message) {
        boolean vote = message instanceof Message.VoteResponse response && response.granted();
        boolean append = message instanceof Message.AppendResponse response && response.accepted();
        check(!(vote || append) || !node.core.refusesWrites(), node.host + " promises nothing while its disk refuses");
        if (message instanceof Message.VoteResponse response && response.granted() && !response.preVote()) {
            checkVoteStored(node, response.header().term(), response.header().to());
        }
        if (message instanceof Message.VoteRequest request && !request.preVote()) {
            checkVoteStored(node, request.header().term(), node.replica());
        }
        if (message instanceof Message.AppendResponse || message instanceof Message.SnapshotResponse) {
            long storedTerm =
                    node.storage.reopenAfterCrash().recovered().hardState().term();
            check(storedTerm >= message.header().term(), node.host + " answers in a term that is on its disk");
        }
        if (message instanceof Message.AppendResponse response && response.accepted()) {
            check(lastStored(node) >= response.index(), "entries that " + node.host + " accepts are on its disk");
        }
    }

    /** Checks that a leader whose disk refuses writes resigns once the others commit without it. */
    void checkResigned(ModelNode node) {
        check(
                !node.core.isLeader() || !node.core.refusesWrites() || node.core.commitIndex() <= lastStored(node),
                "no leader commits what its disk refuses");
    }

    private static long lastStored(ModelNode node) {
        Recovered stored = node.storage.reopenAfterCrash().recovered();
        return Math.max(
                stored.snapshot().map(Snapshot::lastIndex).orElse(0L),
                stored.entries().stream().mapToLong(LogEntry::index).max().orElse(0));
    }

    private static void checkVoteStored(ModelNode node, long term, ReplicaId candidate) {
        HardState stored = node.storage.reopenAfterCrash().recovered().hardState();
        boolean held = stored.term() > term || stored.equals(new HardState(term, Optional.of(candidate)));
        check(held, "the vote of " + node.host + " in term " + term + " is on its disk");
    }

    /** Checks that the entry which a leader has committed just now is on the disks of a majority. */
    void checkStoredByMajority(ModelNode leader, Function<ReplicaId, Recovered> disks) {
        long index = leader.core.commitIndex();
        long term = leader.core.term(index);
        long stored = leader.core.membership().voters().stream()
                .filter(voter -> holds(disks.apply(voter.replica()), index, term))
                .count();
        check(
                stored > leader.core.membership().voters().size() / 2,
                "entry " + index + ", committed by " + leader.host + ", is on the disks of a majority");
    }

    private static boolean holds(Recovered disk, long index, long term) {
        return disk.snapshot().filter(snapshot -> snapshot.lastIndex() >= index).isPresent()
                || disk.entries().stream().anyMatch(entry -> entry.index() == index && entry.term() == term);
    }

    void checkProgress(boolean committed, int electionTimeouts) {
        check(committed, "a proposal is committed within " + electionTimeouts + " election timeouts after the faults");
    }

    void checkSteady(ModelNode leader, long term) {
        check(
                leader.core.isLeader() && leader.core.term() == term,
                "the leader of term " + term + " remains while no disk takes writes");
    }

    void checkConfirmedRead(long minIndex, long index) {
        confirmedReads++;
        check(
                index >= minIndex,
                "a confirmed read at " + index + " covers the entries committed before the request, up to " + minIndex);
    }

    void checkLeader(ModelNode node) {
        if (!node.core.isLeader()) {
            return;
        }
        ReplicaId first = leadersByTerm.putIfAbsent(node.core.term(), node.replica());
        check(first == null || first.equals(node.replica()), "term " + node.core.term() + " has one leader");
        if (first == null) {
            checkHoldsAllCommitted(node.core);
        }
        checkOneOpenChange(node.core);
    }

    void checkLogsMatch(Collection<ModelNode> nodes) {
        List<ReplicaCore> cores = nodes.stream()
                .map(n -> Optional.ofNullable(n.core))
                .flatMap(Optional::stream)
                .toList();
        for (ReplicaCore a : cores) {
            for (ReplicaCore b : cores) {
                if (a != b) {
                    checkLogsMatch(a, b);
                }
            }
        }
    }

    private static void checkLogsMatch(ReplicaCore a, ReplicaCore b) {
        long first = Math.max(a.firstIndex(), b.firstIndex());
        long last = Math.min(a.lastIndex(), b.lastIndex());
        boolean matched = false;
        for (long i = last; i >= first; i--) {
            boolean same = ModelNode.hash(a.entry(i)) == ModelNode.hash(b.entry(i));
            matched |= a.term(i) == b.term(i);
            check(
                    !matched || same,
                    "logs with the same term at an index agree on all entries up to it, violated at " + i);
        }
    }

    private void checkHoldsAllCommitted(ReplicaCore leader) {
        committedByIndex.forEach((index, entry) -> {
            boolean committedEarlier = entry.seenInTerm < leader.term();
            boolean held =
                    index < leader.firstIndex() || (index <= leader.lastIndex() && leader.term(index) == entry.term);
            check(!committedEarlier || held, "the leader of term " + leader.term() + " holds committed entry " + index);
        });
    }

    private void checkOneOpenChange(ReplicaCore leader) {
        int open = 0;
        Membership previous = null;
        for (long i = leader.firstIndex(); i <= leader.lastIndex(); i++) {
            LogEntry entry = leader.entry(i);
            if (entry.kind() != LogEntry.Kind.MEMBERSHIP) {
                continue;
            }
            open += i > lastCommitted ? 1 : 0;
            Membership membership = decode(entry);
            check(
                    previous == null || membership.differsInAtMostOneVoter(previous),
                    "consecutive memberships differ in at most one voter, violated at " + i);
            previous = membership;
        }
        check(open <= 1, "one membership change is open at a time");
    }

    private static Membership decode(LogEntry entry) {
        try {
            return Membership.decode(entry.payload());
        } catch (MalformedMessageException e) {
            throw new AssertionError(e);
        }
    }

    /** Identifies the only vote that a replica has in a term. */
    private record Ballot(ReplicaId voter, long term) {}

    private static void check(boolean holds, String invariant) {
        if (!holds) {
            throw new AssertionError("invariant violated: " + invariant);
        }
    }

    /** Holds the term and hash of a committed entry, and the term in which the entry was first seen to be applied. */
    private record Committed(long term, long hash, long seenInTerm) {}
}
