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
 * Decides for one replica, without I/O, threads or a clock of its own.
 *
 * <p>The owner calls {@link #tick} with the present time before anything else, hands in messages and proposals, then
 * takes a {@link Ready}, carries it out and reports {@link #persisted()}; it repeats this until the ready is empty. All
 * calls come from one thread.
 *
 * @since 0.1
 */
public final class ReplicaCore {
    private final CoreState state;
    private final Leadership leadership;
    private final Elections elections;
    private final Follower follower;
    private final MembershipChanges changes;
    private HardState writtenHardState;
    private long handedOutIndex;

    private ReplicaCore(CoreState state) {
        this.state = state;
        this.leadership = new Leadership(state);
        this.elections = new Elections(state, leadership);
        this.follower = new Follower(state);
        this.changes = new MembershipChanges(state, leadership);
        this.writtenHardState = state.hardState;
        this.handedOutIndex = state.commitIndex;
    }

    /**
     * Returns the core of a replica that starts.
     *
     * <p>The state machine is to be restored from the recovered snapshot, if there is one, before the first entry is
     * applied.
     *
     * @param settings timing and bounds
     * @param self the replica
     * @param recovered what its storage holds
     * @param random spreads the election timeouts
     * @param now the present time, in nanoseconds of a monotonic clock
     * @return the core, never null
     */
    public static ReplicaCore create(
            ConsensusSettings settings, ReplicaId self, Recovered recovered, RandomGenerator random, long now) {
        return new ReplicaCore(new CoreState(settings, self, recovered, random, now));
    }

    /**
     * Moves the clock. A leader that has not heard from a majority in time steps down here, so that nothing it is asked
     * afterwards is decided on stale authority.
     *
     * @param now the present time, in nanoseconds; never less than before
     */
    public void tick(long now) {
        state.now = now;
        leadership.tick();
        elections.tick();
    }

    /**
     * Forms a new group of which this replica writes the first entry.
     *
     * @param group a random number other than 0
     * @param members the first members
     * @throws IllegalStateException if this replica already has a log
     */
    public void form(long group, List<Member> members) {
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
     * Takes a message in. Messages for other replicas or of other groups are dropped.
     *
     * @param from the host that sent it
     * @param message the message
     * @return false if it was dropped
     */
    public boolean receive(HostId from, Message message) {
        Message.Header header = message.header();
        long group = state.membership().group();
        boolean otherGroup = group != 0 && header.group() != 0 && header.group() != group;
        if (!header.to().equals(state.self) || otherGroup) {
            return false;
        }
        if (message instanceof VoteRequest request) {
            elections.request(from, request);
            return true;
        }
        boolean grantedPreVote = message instanceof VoteResponse r && r.preVote() && r.granted();
        if (header.term() > state.term() && !grantedPreVote) {
            state.becomeFollower(header.term());
        }
        if (header.term() < state.term()) {
            return refuseOld(from, message);
        }
        dispatch(from, message);
        return true;
    }

    /**
     * Appends a command.
     *
     * @param command the command
     * @return the index of its entry, or nothing if this replica does not lead
     */
    public OptionalLong propose(byte[] command) {
        if (!state.isLeader()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(leadership.append(LogEntry.Kind.COMMAND, command));
    }

    /**
     * Requests the confirmation of a read. A later ready carries its result under the same id.
     *
     * @param id the id, unique among the open reads
     */
    public void requestRead(long id) {
        if (state.isLeader()) {
            leadership.reads().add(id);
        } else {
            leadership.reads().fail(id);
        }
    }

    /**
     * Asks for a member to be in the group as given. A replica that is not a member yet joins as a learner, in the
     * place of an earlier replica of its host if there is one. One that asks for a vote gets it once it has caught up.
     *
     * @param wanted the member as it wants to be
     * @return what became of it
     */
    public MembershipOutcome join(Member wanted) {
        return changes.join(wanted);
    }

    /**
     * Asks for the replica of a host to be removed for good.
     *
     * @param host the host
     * @return what became of it
     */
    public MembershipOutcome remove(HostId host) {
        return changes.remove(host);
    }

    /**
     * Lets a leader move the votes to members that have caught up and answer, one change at a time.
     *
     * @param target how many members are to vote
     */
    public void balanceVoters(int target) {
        changes.balance(target);
    }

    /**
     * Gives leadership up, if this replica leads, and lets the other voters elect a leader at once. This replica asks
     * for no votes for a while.
     */
    public void resign() {
        elections.resign();
    }

    /**
     * Takes a state of the state machine as the newest snapshot and forgets old entries.
     *
     * @param appliedIndex the last index in the state; applied, and so committed and on disk
     * @param machineState the state
     * @return the snapshot to write, or nothing if there already is one as new
     */
    public Optional<Snapshot> compact(long appliedIndex, byte[] machineState) {
        long newest = state.snapshot.map(Snapshot::lastIndex).orElse(0L);
        if (appliedIndex <= newest || appliedIndex <= state.log.baseIndex()) {
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
     * Returns what is to be done now. Each call is followed by {@link #persisted()}.
     *
     * @return the work, empty if there is none
     */
    public Ready ready() {
        leadership.flush();
        Optional<HardState> hardState =
                Optional.of(state.hardState).filter(current -> !current.equals(writtenHardState));
        handedOutIndex = Math.max(
                handedOutIndex, state.installed.map(Snapshot::lastIndex).orElse(0L));
        List<LogEntry> committed = state.log.slice(handedOutIndex + 1, state.commitIndex);
        Ready ready = new Ready(
                state.immediate,
                hardState,
                state.installed,
                state.log.unpersisted(),
                state.afterSync,
                committed,
                leadership.reads().takeConfirmed(),
                leadership.reads().takeFailed());
        state.immediate.clear();
        state.afterSync.clear();
        state.installed = Optional.empty();
        handedOutIndex = Math.max(handedOutIndex, state.commitIndex);
        return ready;
    }

    /** Notes that everything in the last ready is on disk. */
    public void persisted() {
        writtenHardState = state.hardState;
        state.log.markPersisted(state.log.lastIndex());
        elections.persisted();
        leadership.persisted();
    }

    /**
     * Tells whether this replica belongs to a group.
     *
     * @return true from the first membership on
     */
    public boolean hasGroup() {
        return state.membership().group() != 0;
    }

    /**
     * Returns the newest membership, committed or not.
     *
     * @return the membership, {@link Membership#NONE} before the first
     */
    public Membership membership() {
        return state.membership();
    }

    /**
     * Tells whether the newest membership is committed.
     *
     * @return true if it is
     */
    public boolean membershipCommitted() {
        return state.memberships.currentIndex() <= state.commitIndex;
    }

    /**
     * Tells whether this replica leads its term.
     *
     * @return true if it does
     */
    public boolean isLeader() {
        return state.isLeader();
    }

    /**
     * Returns the host of the leader.
     *
     * @return the host, if this replica knows one
     */
    public Optional<HostId> leader() {
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
     * @return the term, or -1 if the log does not hold it
     */
    public long term(long index) {
        return state.log.term(index);
    }

    /**
     * Returns up to where the log is known to be committed.
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
     * Returns the first index whose entry is still held.
     *
     * @return the index, from 1
     */
    public long firstIndex() {
        return state.log.baseIndex() + 1;
    }

    /**
     * Returns the entry at an index from the first to the last.
     *
     * @param index the index
     * @return the entry, never null
     */
    public LogEntry entry(long index) {
        return state.log.entry(index);
    }

    /**
     * Returns when this replica last had contact with a leader or, as a leader, with a majority.
     *
     * @return the time in nanoseconds of the clock that {@link #tick} moves; empty if never
     */
    public OptionalLong lastContact() {
        return state.hadContact ? OptionalLong.of(state.lastContact) : OptionalLong.empty();
    }

    /**
     * Returns what the replica does.
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

    private boolean refuseOld(HostId from, Message message) {
        Message.Header header = message.header();
        if (message instanceof AppendRequest || message instanceof SnapshotChunk) {
            state.sendAfterSync(from, new AppendResponse(state.headerTo(header.from()), false, 0, 0, 0));
        }
        return false;
    }

    private void dispatch(HostId from, Message message) {
        if (message instanceof AppendRequest request) {
            follower.append(from, request);
        } else if (message instanceof AppendResponse response) {
            leadership.response(response);
        } else if (message instanceof VoteResponse response) {
            elections.response(response);
        } else if (message instanceof SnapshotChunk chunk) {
            follower.chunk(from, chunk);
        } else if (message instanceof SnapshotResponse response) {
            leadership.response(response);
        } else if (message instanceof Resignation resignation) {
            elections.leaderResigned(resignation);
        }
    }
}
