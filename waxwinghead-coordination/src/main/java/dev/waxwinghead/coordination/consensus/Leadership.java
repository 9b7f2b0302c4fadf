package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.CoreState.Role;
import dev.waxwinghead.coordination.consensus.Message.AppendResponse;
import dev.waxwinghead.coordination.consensus.Message.SnapshotResponse;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/** Does what a leader does: appends, replicates, commits, confirms reads and steps down without a majority. */
final class Leadership {
    private static final byte[] NOTHING = {};

    private final CoreState state;
    private final Replication replication;
    private final ReadQueue reads = new ReadQueue();
    private final Map<ReplicaId, Progress> members = new HashMap<>();
    private long heartbeatDeadline;
    private long firstIndexOfTerm;
    private boolean dirty;

    Leadership(CoreState state) {
        this.state = state;
        this.replication = new Replication(state);
    }

    ReadQueue reads() {
        return reads;
    }

    void start() {
        state.role = Role.LEADER;
        state.leader = Optional.of(state.self);
        state.leaderHost = state.membership().member(state.self).map(Member::host);
        state.noteContact();
        members.clear();
        firstIndexOfTerm = state.log.lastIndex() + 1;
        append(LogEntry.Kind.NO_OP, NOTHING);
        heartbeatDeadline = state.now;
    }

    void tick() {
        if (!state.isLeader()) {
            return;
        }
        noteMajorityContact();
        if (state.now - state.lastContact >= state.settings.electionTimeoutMin().toNanos()) {
            state.becomeFollower(state.term());
            return;
        }
        if (state.now - heartbeatDeadline >= 0) {
            heartbeat();
        }
    }

    long append(LogEntry.Kind kind, byte[] payload) {
        long index = state.log.lastIndex() + 1;
        state.append(new LogEntry(index, state.term(), kind, payload));
        if (kind != LogEntry.Kind.COMMAND) {
            followMembership();
        }
        dirty = true;
        return index;
    }

    /** Tells whether an entry of the leader's own term is committed, so that its commit index is up to date. */
    boolean knowsCommit() {
        return state.isLeader() && state.commitIndex >= firstIndexOfTerm;
    }

    boolean isCaughtUp(ReplicaId replica) {
        Progress progress = members.get(replica);
        return progress != null
                && progress.matchIndex > 0
                && progress.matchIndex + state.settings.promotionLag() >= state.commitIndex;
    }

    /** Returns for how long a member has been silent, in nanoseconds. */
    long silence(ReplicaId replica) {
        Progress progress = members.get(replica);
        return progress == null ? 0 : state.now - progress.lastHeard;
    }

    /** Sends what the events since the last call left to send. */
    void flush() {
        if (!state.isLeader()) {
            reads.failAll();
            return;
        }
        if (reads.openRound()) {
            askVoters();
        }
        confirmReads();
        if (dirty) {
            dirty = false;
            members.values().forEach(progress -> replication.replicate(progress, reads.round()));
        }
        announceCommit();
    }

    /** Counts the own entries, which are on disk now. */
    void persisted() {
        if (state.isLeader()) {
            commit();
        }
    }

    void response(AppendResponse response) {
        Progress progress = heard(response.header().from(), response.round());
        if (progress == null) {
            return;
        }
        if (response.accepted()) {
            progress.matched(Math.min(response.index(), state.log.lastIndex()));
            commit();
        } else {
            progress.refused(response.previousIndex(), response.index());
        }
        replication.replicate(progress, reads.round());
    }

    void response(SnapshotResponse response) {
        Progress progress = heard(response.header().from(), response.round());
        boolean current = progress != null
                && progress.sending
                        .filter(s -> s.lastIndex() == response.lastIndex())
                        .isPresent();
        if (current && response.nextOffset() != progress.offset) {
            progress.offset = response.nextOffset();
            replication.sendChunk(progress, reads.round());
        }
    }

    private Progress heard(ReplicaId from, long round) {
        Progress progress = state.isLeader() ? members.get(from) : null;
        if (progress != null) {
            progress.lastHeard = state.now;
            progress.round = Math.max(progress.round, round);
        }
        return progress;
    }

    private void heartbeat() {
        heartbeatDeadline = state.now + state.settings.heartbeatInterval().toNanos();
        members.values().forEach(progress -> replication.heartbeat(progress, reads.round()));
    }

    private void askVoters() {
        for (Progress progress : members.values()) {
            if (progress.member.voter() && progress.mode != Progress.Mode.SNAPSHOT) {
                replication.heartbeat(progress, reads.round());
            }
        }
    }

    private void announceCommit() {
        for (Progress progress : members.values()) {
            if (progress.mode == Progress.Mode.REPLICATE && progress.announcedCommit < state.commitIndex) {
                replication.heartbeat(progress, reads.round());
            }
        }
    }

    private void followMembership() {
        Collection<Member> wanted = state.membership().members();
        for (Member member : wanted) {
            if (!member.replica().equals(state.self)) {
                Progress progress = members.computeIfAbsent(
                        member.replica(), r -> new Progress(member, state.log.lastIndex(), state.now));
                progress.member = member;
            }
        }
        members.keySet().removeIf(r -> state.membership().member(r).isEmpty());
    }

    private void commit() {
        long index = majorityValue(state.log.persistedIndex(), p -> p.matchIndex);
        if (index > state.commitIndex && state.log.term(index) == state.term()) {
            state.commitIndex = index;
            stepDownIfRemoved();
        }
    }

    private void stepDownIfRemoved() {
        boolean committed = state.memberships.currentIndex() <= state.commitIndex;
        if (committed && !state.membership().isVoter(state.self)) {
            announceCommit();
            state.becomeFollower(state.term());
        }
    }

    private void noteMajorityContact() {
        state.lastContact = Math.max(state.lastContact, majorityValue(state.now, p -> p.lastHeard));
    }

    private void confirmReads() {
        if (knowsCommit()) {
            reads.confirm(majorityValue(reads.round(), p -> p.round), state.commitIndex);
        }
    }

    /** Returns the largest value that a majority of the voters has reached. */
    private long majorityValue(long own, ToLongFunction<Progress> value) {
        long[] values = state.membership().voters().stream()
                .mapToLong(v -> valueOf(v.replica(), own, value))
                .sorted()
                .toArray();
        return values.length == 0 ? 0 : values[(values.length - 1) / 2];
    }

    private long valueOf(ReplicaId voter, long own, ToLongFunction<Progress> value) {
        return voter.equals(state.self) ? own : value.applyAsLong(members.get(voter));
    }
}
