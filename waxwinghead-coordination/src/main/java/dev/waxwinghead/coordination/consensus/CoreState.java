package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.Header;
import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Holds the state of a replica that the parts of the algorithm share. */
final class CoreState {
    final ConsensusSettings settings;
    final ReplicaId self;
    final EntryLog log;
    final MembershipHistory memberships;
    final List<Ready.Outbound> immediate = new ArrayList<>();
    final List<Ready.Outbound> afterSync = new ArrayList<>();

    ElectionListener electionListener = ElectionListener.NONE;
    long now;
    HardState hardState;
    Role role = Role.FOLLOWER;
    Optional<ReplicaId> leader = Optional.empty();
    Optional<HostId> leaderHost = Optional.empty();
    Optional<Snapshot> snapshot;
    Optional<Snapshot> installedSnapshot = Optional.empty();
    long commitIndex;
    /** Whether the storage refuses writes, so that this replica neither stores entries nor votes. */
    boolean refusesWrites;

    long electionDeadline;
    /** The time of the last contact with a leader or, if this replica leads, with a majority. */
    long lastContact;
    /** Whether the replica has had contact with a leader or, as the leader, with a majority since its start. */
    boolean hasHadContact;

    private final RandomGenerator random;

    CoreState(
            ConsensusSettings settings,
            ReplicaId self,
            dev.waxwinghead.coordination.storage.ReplicaStorage.Recovered recovered,
            RandomGenerator random,
            long now) {
        this.settings = settings;
        this.self = self;
        this.random = random;
        this.now = now;
        hardState = recovered.hardState();
        snapshot = recovered.snapshot();
        commitIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
        log = new EntryLog(commitIndex, snapshot.map(Snapshot::lastTerm).orElse(0L), recovered.entries());
        memberships = new MembershipHistory(commitIndex, baseMembership(snapshot));
        for (LogEntry entry : recovered.entries()) {
            recordMembership(entry);
        }
        resetElectionDeadline();
    }

    /** Enumerates the roles of a replica in its term. */
    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    long term() {
        return hardState.term();
    }

    Membership membership() {
        return memberships.current();
    }

    boolean isLeader() {
        return role == Role.LEADER;
    }

    boolean hasRecentLeaderContact() {
        return hasHadContact
                && leader.isPresent()
                && now - lastContact < settings.electionTimeoutMin().toNanos();
    }

    void resetElectionDeadline() {
        long min = settings.electionTimeoutMin().toNanos();
        long max = settings.electionTimeoutMax().toNanos();
        electionDeadline = now + random.nextLong(min, max);
    }

    /**
     * Sets the time to request votes again if the current request doesn't win a majority. The range starts below the
     * election timeout because a round trip takes far less time.
     */
    void resetRetryDeadline() {
        long max = settings.electionTimeoutMin().toNanos();
        electionDeadline = now + random.nextLong(max / 4, max);
    }

    /**
     * Sets the time to stand for election after a leader has resigned. The delay is random so that usually one voter
     * requests votes before the others.
     */
    void resetSuccessionDeadline() {
        electionDeadline = now + random.nextLong(settings.heartbeatInterval().toNanos());
    }

    void recordContact() {
        lastContact = now;
        hasHadContact = true;
    }

    void becomeFollower(long term) {
        if (term > hardState.term()) {
            hardState = new HardState(term, Optional.empty());
            clearLeader();
        }
        if (role == Role.LEADER) {
            clearLeader();
            resetElectionDeadline();
        }
        role = Role.FOLLOWER;
    }

    void clearLeader() {
        leader = Optional.empty();
        leaderHost = Optional.empty();
    }

    Header headerTo(ReplicaId to) {
        return headerTo(to, term());
    }

    Header headerTo(ReplicaId to, long term) {
        return new Header(membership().group(), self, to, term);
    }

    void sendNow(HostId to, Message message) {
        immediate.add(new Ready.Outbound(to, message));
    }

    void sendAfterSync(HostId to, Message message) {
        afterSync.add(new Ready.Outbound(to, message));
    }

    boolean logIsUpToDate(long lastIndex, long lastTerm) {
        return lastTerm > log.lastTerm() || (lastTerm == log.lastTerm() && lastIndex >= log.lastIndex());
    }

    void append(LogEntry entry) {
        log.append(entry);
        recordMembership(entry);
    }

    void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL,
                    "entry " + index + " is committed on this replica and conflicts with the log of the leader",
                    "stop this entry host, keep its data folder for analysis and start it with an empty one");
        }
        log.truncateFrom(index);
        memberships.truncateFrom(index);
    }

    private void recordMembership(LogEntry entry) {
        try {
            memberships.append(entry);
        } catch (MalformedMessageException e) {
            throw malformedMembership(e);
        }
    }

    private static Membership baseMembership(Optional<Snapshot> snapshot) {
        try {
            return snapshot.isPresent() ? Membership.decode(snapshot.get().membership()) : Membership.NONE;
        } catch (MalformedMessageException e) {
            throw malformedMembership(e);
        }
    }

    private static WaxwingheadException malformedMembership(MalformedMessageException cause) {
        return WaxwingheadException.of(
                ErrorKind.STORAGE,
                "a stored membership entry or snapshot is malformed",
                "empty this entry host's data folder; the host then catches up from the others",
                cause);
    }
}
