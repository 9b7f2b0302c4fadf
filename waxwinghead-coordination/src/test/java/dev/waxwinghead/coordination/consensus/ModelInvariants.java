package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Remembers the history of a model and fails with an {@link AssertionError} where it breaks a promise. */
final class ModelInvariants {
    private final Map<Long, ReplicaId> leaders = new HashMap<>();
    private final Map<Long, Committed> committed = new HashMap<>();
    private final Map<Long, Long> states = new HashMap<>();
    private long lastCommitted;
    int installs;
    int reads;
    int memberships;
    int diskLosses;

    long lastCommitted() {
        return lastCommitted;
    }

    int leaderCount() {
        return leaders.size();
    }

    void applied(ModelNode node, LogEntry entry) {
        check(entry.index() == node.applied, "entries are applied in order");
        Committed now = new Committed(entry.term(), ModelNode.hash(entry), node.core.term());
        Committed first = committed.putIfAbsent(entry.index(), now);
        check(
                first == null || (first.term == now.term && first.hash == now.hash),
                "all replicas apply the same entry at " + entry.index());
        if (first == null && entry.kind() == LogEntry.Kind.MEMBERSHIP && entry.index() > 1) {
            memberships++;
        }
        lastCommitted = Math.max(lastCommitted, entry.index());
        sameState(node);
    }

    void sameState(ModelNode node) {
        Long first = states.putIfAbsent(node.applied, node.stateHash);
        check(first == null || first == node.stateHash, "all replicas have the same state at " + node.applied);
    }

    void voted(ModelNode node, Message.VoteResponse vote) {
        ReplicaId candidate = vote.header().to();
        boolean known = node.core.membership().removed().contains(candidate);
        check(!vote.granted() || !known, "nobody votes for a replica it knows to be removed");
    }

    void read(long floor, long index) {
        reads++;
        check(index >= floor, "a confirmed read at " + index + " sees what was committed before, " + floor);
    }

    void stepped(ModelNode node) {
        if (!node.core.isLeader()) {
            return;
        }
        ReplicaId first = leaders.putIfAbsent(node.core.term(), node.replica());
        check(first == null || first.equals(node.replica()), "term " + node.core.term() + " has one leader");
        if (first == null) {
            holdsAllCommitted(node.core);
        }
        oneChangeAtATime(node.core);
    }

    void logsMatch(Collection<ModelNode> nodes) {
        List<ReplicaCore> cores = nodes.stream()
                .map(n -> Optional.ofNullable(n.core))
                .flatMap(Optional::stream)
                .toList();
        for (ReplicaCore a : cores) {
            for (ReplicaCore b : cores) {
                if (a != b) {
                    logsMatch(a, b);
                }
            }
        }
    }

    private static void logsMatch(ReplicaCore a, ReplicaCore b) {
        long first = Math.max(a.firstIndex(), b.firstIndex());
        long last = Math.min(a.lastIndex(), b.lastIndex());
        boolean matched = false;
        for (long i = last; i >= first; i--) {
            boolean same = ModelNode.hash(a.entry(i)) == ModelNode.hash(b.entry(i));
            matched |= a.term(i) == b.term(i);
            check(!matched || same, "logs that agree on a term agree up to it, not so at " + i);
        }
    }

    private void holdsAllCommitted(ReplicaCore leader) {
        committed.forEach((index, entry) -> {
            boolean earlier = entry.seenInTerm < leader.term();
            boolean held =
                    index < leader.firstIndex() || (index <= leader.lastIndex() && leader.term(index) == entry.term);
            check(!earlier || held, "the leader of term " + leader.term() + " holds committed entry " + index);
        });
    }

    private void oneChangeAtATime(ReplicaCore leader) {
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
                    previous == null || membership.differsInOneVoterAtMost(previous),
                    "memberships in a row differ in one voter at most, not so at " + i);
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

    private static void check(boolean holds, String promise) {
        if (!holds) {
            throw new AssertionError("broken: " + promise);
        }
    }

    /** Holds what is known of a committed entry. */
    private record Committed(long term, long hash, long seenInTerm) {}
}
