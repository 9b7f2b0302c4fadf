package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.AppendRequest;
import dev.waxwinghead.coordination.consensus.Message.AppendResponse;
import dev.waxwinghead.coordination.consensus.Message.Resignation;
import dev.waxwinghead.coordination.consensus.Message.SnapshotChunk;
import dev.waxwinghead.coordination.consensus.Message.SnapshotResponse;
import dev.waxwinghead.coordination.consensus.Message.VoteRequest;
import dev.waxwinghead.coordination.consensus.Message.VoteResponse;
import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage.Recovered;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Runs the consensus algorithm for one replica, without I/O, threads or a clock of its own.
 *
 * <p>The owner first calls {@link #tick} with the current time, then passes in messages and proposals, then processes
 * the result of {@link #ready()} and calls {@link #markPersisted()}, and repeats the last step until the {@link Ready}
 * is empty. If the storage refuses a write, the owner calls {@link #markRefused()} in place of it, and
 * {@link #resumeWrites()} once the storage is usable again. All calls must come from one thread.
 *
 * @since 0.1
 */
public final class ReplicaCore {
    private final CoreState state;
    private final Leadership leadership;
    private final Elections elections;
    private final Follower follower;
    private final MembershipChanges membershipChanges;
    private HardState persistedHardState;
    private long deliveredIndex;
    /** The value of {@link #deliveredIndex} before the last {@link Ready}. */
    private long previouslyDeliveredIndex;

    private ReplicaCore(CoreState state) {
        this.state = state;
        this.leadership = new Leadership(state);
        this.elections = new Elections(state, leadership);
        this.follower = new Follower(state);
        this.membershipChanges = new MembershipChanges(state, leadership);
        this.persistedHardState = state.hardState;
        this.deliveredIndex = state.commitIndex;
    }

    /**
     * Creates the core of a starting replica.
     *
     * <p>The owner must restore the state machine from the recovered snapshot, if there is one, before it applies the
     * first entry.
     *
     * @param settings the timing and limits, not null
     * @param self the id of the replica, not null
     * @param recovered the state recovered from the storage of the replica, not null
     * @param random the source of randomness for the election timeouts, not null
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the core, never null
     */
    public static ReplicaCore create(
            ConsensusSettings settings, ReplicaId self, Recovered recovered, RandomGenerator random, long now) {
        return new ReplicaCore(new CoreState(settings, self, recovered, random, now));
    }

    /**
     * Reports the decisions in elections to a listener from now on.
     *
     * @param listener the listener, not null; replaces the previous one
     */
    public void onElections(ElectionListener listener) {
        state.electionListener = listener;
    }

    /**
     * Advances the clock. A leader without contact with a majority within the election timeout steps down here, so that
     * no later call is decided by a leader whose term may have ended.
     *
     * @param now the current time, in nanoseconds; never less than in an earlier call
     */
    public void tick(long now) {
        state.now = now;
        leadership.tick();
        elections.tick();
    }

    /**
     * Forms a new group by writing its first log entry on this replica.
     *
     * @param group the id of the group, a random number other than 0
     * @param members the initial members, not null
     * @throws IllegalStateException if this replica already has a log
     */
    public void formGroup(long group, List<Member> members) {
        if (hasGroup() || state.log.lastIndex() > 0) {
            throw new IllegalStateException("the replica already has a log");
        }
        Membership first = new Membership(group, members, List.of());
        if (state.term() == 0) {
            state.hardState = new HardState(1, Optional.empty());
        }
        state.append(new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, first.encode()));
        state.electionDeadline = state.now;
    }

    /**
     * Handles a message. Messages for other replicas, of other groups or of old terms are dropped.
     *
     * @param from the sending host, not null
     * @param message the message, not null
     * @return false if the message was dropped
     */
    public boolean receive(HostId from, Message message) {
        Message.Header header = message.header();
        long group = state.membership().group();
        boolean otherGroup = group != 0 && header.group() != 0 && header.group() != group;
        if (!header.to().equals(state.self) || otherGroup) {
            return false;
        }
        if (message instanceof VoteRequest request) {
            elections.handleVoteRequest(from, request);
            return true;
        }
        boolean grantedPreVote = message instanceof VoteResponse r && r.preVote() && r.granted();
        if (header.term() > state.term() && !grantedPreVote) {
            state.becomeFollower(header.term());
        }
        if (header.term() < state.term()) {
            return refuseStale(from, message);
        }
        dispatch(from, message);
        return true;
    }

    /**
     * Appends a command to the log.
     *
     * @param command the command, not null
     * @return the index of the new entry, empty if this replica isn't the leader
     */
    public OptionalLong propose(byte[] command) {
        if (!state.isLeader()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(leadership.append(LogEntry.Kind.COMMAND, command));
    }

    /**
     * Requests the confirmation of a read. A later {@link Ready} carries the result under the same id.
     *
     * @param id the id of the read, unique among the open reads
     */
    public void requestRead(long id) {
        if (state.isLeader()) {
            leadership.reads().add(id);
        } else {
            leadership.reads().fail(id);
        }
    }

    /**
     * Requests that a member is in the group as given. A replica that isn't a member yet joins as a learner and
     * replaces an earlier replica of its host, if there is one. A member that requests a vote gets it once the member
     * has caught up.
     *
     * @param desired the desired state of the member, not null
     * @return the outcome, never null
     */
    public MembershipOutcome join(Member desired) {
        return membershipChanges.join(desired);
    }

    /**
     * Requests that the replica of a host is removed permanently.
     *
     * @param host the host, not null
     * @return the outcome, never null
     */
    public MembershipOutcome remove(HostId host) {
        return membershipChanges.remove(host);
    }

    /**
     * Proposes a change that moves votes to members that have caught up and respond, if this replica leads and no other
     * change is in progress.
     *
     * @param target the desired number of voters
     */
    public void balanceVoters(int target) {
        membershipChanges.balanceVoters(target);
    }

    /**
     * Gives up leadership, if this replica leads, and lets the other voters elect a leader at once. This replica
     * doesn't request votes until its next election timeout.
     */
    public void resign() {
        elections.resign();
    }

    /**
     * Creates a snapshot from a state of the state machine and removes old entries from memory.
     *
     * @param appliedIndex the last index that the state contains; applied, and therefore committed and on disk
     * @param machineState the serialised state, not null
     * @return the snapshot to write, empty if the current snapshot is at least as new or the storage refuses writes
     */
    public Optional<Snapshot> compact(long appliedIndex, byte[] machineState) {
        long newest = state.snapshot.map(Snapshot::lastIndex).orElse(0L);
        if (state.refusesWrites || appliedIndex <= newest || appliedIndex <= state.log.baseIndex()) {
            return Optional.empty();
        }
        byte[] membership = state.memberships.at(appliedIndex).encode();
        Snapshot snapshot = new Snapshot(appliedIndex, state.log.term(appliedIndex), membership, machineState);
        state.snapshot = Optional.of(snapshot);
        long keepFrom = appliedIndex - state.settings.trailingEntries();
        state.log.compactTo(keepFrom);
        state.memberships.compactTo(Math.max(keepFrom, state.log.baseIndex()));
        return state.snapshot;
    }

    /**
     * Returns the work to do now. The caller must follow each call with {@link #markPersisted()} or
     * {@link #markRefused()}.
     *
     * @return the work, never null; an empty {@link Ready} if there is none
     */
    public Ready ready() {
        if (leadership.othersStore()) {
            elections.resign();
        }
        leadership.flush();
        Optional<HardState> hardState =
                Optional.of(state.hardState).filter(current -> !current.equals(persistedHardState));
        previouslyDeliveredIndex = deliveredIndex;
        Ready ready = state.refusesWrites ? readyWithoutWrites(hardState.isEmpty()) : readyWithWrites(hardState);
        state.immediate.clear();
        state.afterSync.clear();
        return ready;
    }

    private Ready readyWithWrites(Optional<HardState> hardState) {
        deliveredIndex = Math.max(
                deliveredIndex, state.installedSnapshot.map(Snapshot::lastIndex).orElse(0L));
        return new Ready(
                state.immediate,
                hardState,
                state.installedSnapshot,
                state.log.unpersisted(),
                state.afterSync,
                deliverCommitted(),
                leadership.reads().takeConfirmed(),
                leadership.reads().takeFailed());
    }

    /** Returns the work of a replica whose storage refuses writes; it answers only in a term that is on disk. */
    private Ready readyWithoutWrites(boolean termStored) {
        return new Ready(
                state.immediate,
                Optional.empty(),
                Optional.empty(),
                List.of(),
                termStored ? state.afterSync : List.of(),
                state.installedSnapshot.isPresent() ? List.of() : deliverCommitted(),
                leadership.reads().takeConfirmed(),
                leadership.reads().takeFailed());
    }

    private List<LogEntry> deliverCommitted() {
        List<LogEntry> committed = state.log.slice(deliveredIndex + 1, state.commitIndex);
        deliveredIndex = Math.max(deliveredIndex, state.commitIndex);
        return committed;
    }

    /**
     * Marks the writes in the last {@link Ready} as refused by the storage. The caller must not send the messages in
     * {@code afterSync} and must not apply the snapshot and the committed entries; a later {@link Ready} carries them.
     *
     * <p>From then on this replica stores and acknowledges no entries and doesn't vote, but remains in contact with its
     * leader. A leader remains the leader until the others have shown that they can store entries without it.
     */
    public void markRefused() {
        deliveredIndex = previouslyDeliveredIndex;
        state.refusesWrites = true;
        state.afterSync.clear();
        elections.withdraw(persistedHardState);
        leadership.onRefused();
    }

    /** Continues to write after the storage has refused writes. The next {@link Ready} carries all that is missing. */
    public void resumeWrites() {
        state.refusesWrites = false;
    }

    /**
     * Returns whether the storage of this replica refuses writes.
     *
     * @return true from {@link #markRefused()} to {@link #resumeWrites()}
     */
    public boolean refusesWrites() {
        return state.refusesWrites;
    }

    /**
     * Returns whether this replica leads and, as far as it knows, a majority of the voters can store entries.
     *
     * @return true if a proposal can be committed now
     */
    public boolean canCommit() {
        return state.isLeader() && leadership.majorityStores();
    }

    /**
     * Marks all writes in the last {@link Ready} as on disk. Has no effect while the storage refuses writes, since the
     * {@link Ready} contained none.
     */
    public void markPersisted() {
        previouslyDeliveredIndex = deliveredIndex;
        if (state.refusesWrites) {
            return;
        }
        state.installedSnapshot = Optional.empty();
        persistedHardState = state.hardState;
        state.log.markPersisted(state.log.lastIndex());
        elections.onPersisted();
        leadership.onPersisted();
    }

    /**
     * Returns whether this replica belongs to a group.
     *
     * @return true once the replica knows a membership
     */
    public boolean hasGroup() {
        return state.membership().group() != 0;
    }

    /**
     * Returns the newest membership, committed or not.
     *
     * @return the membership, never null; {@link Membership#NONE} if the replica doesn't belong to a group
     */
    public Membership membership() {
        return state.membership();
    }

    /**
     * Returns whether the newest membership is committed.
     *
     * @return true if the newest membership is committed
     */
    public boolean isMembershipCommitted() {
        return state.memberships.currentIndex() <= state.commitIndex;
    }

    /**
     * Returns whether this replica leads its term.
     *
     * @return true if this replica is the leader
     */
    public boolean isLeader() {
        return state.isLeader();
    }

    /**
     * Returns the host of the leader.
     *
     * @return the host, empty if this replica knows no leader
     */
    public Optional<HostId> leaderHost() {
        return state.leaderHost;
    }

    /**
     * Returns the newest term.
     *
     * @return the term, from 0
     */
    public long term() {
        return state.term();
    }

    /**
     * Returns the term of an entry.
     *
     * @param index the index
     * @return the term, or -1 if the log doesn't hold the entry
     */
    public long term(long index) {
        return state.log.term(index);
    }

    /**
     * Returns the last index known to be committed.
     *
     * @return the index, from 0
     */
    public long commitIndex() {
        return state.commitIndex;
    }

    /**
     * Returns the last index of the log.
     *
     * @return the index, from 0
     */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /**
     * Returns the first index whose entry the log still holds.
     *
     * @return the index, from 1
     */
    public long firstIndex() {
        return state.log.baseIndex() + 1;
    }

    /**
     * Returns the entry at an index.
     *
     * @param index the index, from {@link #firstIndex()} to {@link #lastIndex()}
     * @return the entry, never null
     */
    public LogEntry entry(long index) {
        return state.log.entry(index);
    }

    /**
     * Returns the time of the last contact of this replica with a leader or, as the leader, with a majority.
     *
     * @return the time, in nanoseconds of the clock that {@link #tick} advances; empty if there was no contact
     */
    public OptionalLong lastContact() {
        return state.hasHadContact ? OptionalLong.of(state.lastContact) : OptionalLong.empty();
    }

    /**
     * Returns the current role of the replica.
     *
     * @return the role, never null
     */
    public LogStatus.Role role() {
        return switch (state.role) {
            case LEADER -> LogStatus.Role.LEADER;
            case CANDIDATE, PRE_CANDIDATE -> LogStatus.Role.CANDIDATE;
            case FOLLOWER -> followerRole();
        };
    }

    private LogStatus.Role followerRole() {
        Optional<Member> member = state.membership().member(state.self);
        if (member.isEmpty()) {
            return LogStatus.Role.JOINING;
        }
        return member.get().voter() ? LogStatus.Role.FOLLOWER : LogStatus.Role.LEARNER;
    }

    private boolean refuseStale(HostId from, Message message) {
        Message.Header header = message.header();
        if (message instanceof AppendRequest || message instanceof SnapshotChunk) {
            state.sendAfterSync(from, new AppendResponse(state.headerTo(header.from()), false, 0, 0, 0));
        }
        return false;
    }

    private void dispatch(HostId from, Message message) {
        if (message instanceof AppendRequest request) {
            follower.handleAppend(from, request);
        } else if (message instanceof AppendResponse response) {
            leadership.handleResponse(response);
        } else if (message instanceof VoteResponse response) {
            elections.handleVoteResponse(response);
        } else if (message instanceof SnapshotChunk chunk) {
            follower.handleChunk(from, chunk);
        } else if (message instanceof SnapshotResponse response) {
            leadership.handleResponse(response);
        } else if (message instanceof Resignation resignation) {
            elections.handleResignation(resignation);
        }
    }
}
