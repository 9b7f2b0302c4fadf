package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Records the history of a {@link ModelCluster} and throws an {@link AssertionError} if the history violates an
 * invariant.
 */
final class ModelInvariants {
    private final Map<Long, ReplicaId> leadersByTerm = new HashMap<>();
    private final Map<Long, Committed> committedByIndex = new HashMap<>();
    private final Map<Long, Long> stateHashesByIndex = new HashMap<>();
    private long lastCommitted;
    int installedSnapshots;
    int confirmedReads;
    int committedMemberships;
    int diskLosses;

    long lastCommitted() {
        return lastCommitted;
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

    private static void check(boolean holds, String invariant) {
        if (!holds) {
            throw new AssertionError("invariant violated: " + invariant);
        }
    }

    /** Holds the term and hash of a committed entry, and the term in which the entry was first seen to be applied. */
    private record Committed(long term, long hash, long seenInTerm) {}
}
