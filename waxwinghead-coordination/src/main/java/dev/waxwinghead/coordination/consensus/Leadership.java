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

/** Implements the leader: appends, replicates and commits entries, confirms reads and steps down without a majority. */
final class Leadership {
    private static final byte[] EMPTY_PAYLOAD = {};

    private final CoreState state;
    private final Replication replication;
    private final ReadQueue reads = new ReadQueue();
    private final Map<ReplicaId, Progress> progressByReplica = new HashMap<>();
    private long heartbeatDeadline;
    private long firstIndexOfOwnTerm;
    private boolean hasUnsentEntries;

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
        state.recordContact();
        progressByReplica.clear();
        firstIndexOfOwnTerm = state.log.lastIndex() + 1;
        append(LogEntry.Kind.NO_OP, EMPTY_PAYLOAD);
        heartbeatDeadline = state.now;
    }

    void tick() {
        if (!state.isLeader()) {
            return;
        }
        recordMajorityContact();
        if (state.now - state.lastContact >= state.settings.electionTimeoutMin().toNanos()) {
            state.becomeFollower(state.term());
            return;
        }
        if (state.now - heartbeatDeadline >= 0) {
            sendHeartbeats();
        }
    }

    long append(LogEntry.Kind kind, byte[] payload) {
        long index = state.log.lastIndex() + 1;
        state.append(new LogEntry(index, state.term(), kind, payload));
        if (kind != LogEntry.Kind.COMMAND) {
            trackMembership();
        }
        hasUnsentEntries = true;
        return index;
    }

    /**
     * Returns whether an entry of the leader's own term is committed, so that the leader's commit index is up to date.
     */
    boolean hasCommittedInOwnTerm() {
        return state.isLeader() && state.commitIndex >= firstIndexOfOwnTerm;
    }

    /** Returns whether a member has almost all committed entries and, as far as this leader knows, stores more. */
    boolean isCaughtUp(ReplicaId replica) {
        Progress progress = progressByReplica.get(replica);
        return progress != null
                && !progress.refusesWrites
                && progress.matchIndex > 0
                && progress.matchIndex + state.settings.promotionLag() >= state.commitIndex;
    }

    /**
     * Returns the time since a member last answered or, if it lacks committed entries, since it last stored entries, in
     * nanoseconds. A member may answer without storing anything, for example if it restarts at each write.
     */
    long unresponsiveNanos(ReplicaId replica) {
        Progress progress = progressByReplica.get(replica);
        if (progress == null) {
            return 0;
        }
        boolean lagging = progress.matchIndex < state.commitIndex;
        return state.now - (lagging ? Math.min(progress.lastHeard, progress.lastStored) : progress.lastHeard);
    }

    /**
     * Returns whether a majority of the voters, as far as this leader knows, stores entries. Otherwise no entry can be
     * committed, although the leader remains in contact with a majority.
     */
    boolean majorityStores() {
        return majorityValue(state.refusesWrites ? 0 : 1, progress -> progress.refusesWrites ? 0 : 1) == 1;
    }

    /** Ensures that there is an entry which shows, once it is committed, that the others store without this leader. */
    void onRefused() {
        if (state.isLeader() && state.log.persistedIndex() == state.log.lastIndex()) {
            append(LogEntry.Kind.NO_OP, EMPTY_PAYLOAD);
        }
    }

    /** Returns whether the others have committed an entry that this leader can't store. */
    boolean othersStore() {
        return state.isLeader() && state.refusesWrites && state.commitIndex > state.log.persistedIndex();
    }

    /** Sends the entries, read confirmations and commit index that became due since the last call. */
    void flush() {
        if (!state.isLeader()) {
            reads.failAll();
            return;
        }
        if (reads.startRound()) {
            requestReadConfirmations();
        }
        confirmReads();
        if (hasUnsentEntries) {
            hasUnsentEntries = false;
            progressByReplica.values().forEach(progress -> replication.replicate(progress, reads.round()));
        }
        announceCommit();
    }

    /** Counts this replica towards the majority for its entries that are now on disk. */
    void onPersisted() {
        if (state.isLeader()) {
            advanceCommitIndex();
        }
    }

    void handleResponse(AppendResponse response) {
        Progress progress = recordResponse(response.header().from(), response.readRound());
        if (progress == null) {
            return;
        }
        progress.refusesWrites = response.isNotStored();
        if (response.accepted()) {
            progress.recordMatch(Math.min(response.index(), state.log.lastIndex()), state.now);
            advanceCommitIndex();
        } else {
            progress.recordRefusal(response.previousIndex(), response.index());
        }
        replication.replicate(progress, reads.round());
    }

    void handleResponse(SnapshotResponse response) {
        Progress progress = recordResponse(response.header().from(), response.readRound());
        boolean current = progress != null
                && progress.outgoingSnapshot
                        .filter(snapshot -> snapshot.lastIndex() == response.lastIndex())
                        .isPresent();
        if (current && response.nextOffset() != progress.snapshotOffset) {
            progress.snapshotOffset = response.nextOffset();
            progress.lastStored = state.now;
            replication.sendChunk(progress, reads.round());
        }
    }

    private Progress recordResponse(ReplicaId from, long round) {
        Progress progress = state.isLeader() ? progressByReplica.get(from) : null;
        if (progress != null) {
            progress.lastHeard = state.now;
            progress.readRound = Math.max(progress.readRound, round);
        }
        return progress;
    }

    private void sendHeartbeats() {
        heartbeatDeadline = state.now + state.settings.heartbeatInterval().toNanos();
        progressByReplica.values().forEach(progress -> replication.sendHeartbeat(progress, reads.round()));
    }

    private void requestReadConfirmations() {
        for (Progress progress : progressByReplica.values()) {
            if (progress.member.voter() && progress.mode != Progress.Mode.SNAPSHOT) {
                replication.sendHeartbeat(progress, reads.round());
            }
        }
    }

    private void announceCommit() {
        for (Progress progress : progressByReplica.values()) {
            if (progress.mode == Progress.Mode.REPLICATE && progress.announcedCommit < state.commitIndex) {
                replication.sendHeartbeat(progress, reads.round());
            }
        }
    }

    private void trackMembership() {
        Collection<Member> currentMembers = state.membership().members();
        for (Member member : currentMembers) {
            if (!member.replica().equals(state.self)) {
                Progress progress = progressByReplica.computeIfAbsent(
                        member.replica(), r -> new Progress(member, state.log.lastIndex(), state.now));
                progress.member = member;
            }
        }
        progressByReplica.keySet().removeIf(r -> state.membership().member(r).isEmpty());
    }

    private void advanceCommitIndex() {
        long index = majorityValue(state.log.persistedIndex(), p -> p.matchIndex);
        if (index > state.commitIndex && state.log.term(index) == state.term()) {
            progressByReplica.values().stream()
                    .filter(progress -> progress.matchIndex >= state.commitIndex)
                    .forEach(progress -> progress.lastStored = state.now);
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

    private void recordMajorityContact() {
        state.lastContact = Math.max(state.lastContact, majorityValue(state.now, p -> p.lastHeard));
    }

    private void confirmReads() {
        if (hasCommittedInOwnTerm()) {
            reads.confirm(majorityValue(reads.round(), p -> p.readRound), state.commitIndex);
        }
    }

    /** Returns the highest value that a majority of the voters has reached. */
    private long majorityValue(long ownValue, ToLongFunction<Progress> value) {
        long[] values = state.membership().voters().stream()
                .mapToLong(v -> valueOf(v.replica(), ownValue, value))
                .sorted()
                .toArray();
        return values.length == 0 ? 0 : values[(values.length - 1) / 2];
    }

    private long valueOf(ReplicaId voter, long ownValue, ToLongFunction<Progress> value) {
        return voter.equals(state.self) ? ownValue : value.applyAsLong(progressByReplica.get(voter));
    }
}
