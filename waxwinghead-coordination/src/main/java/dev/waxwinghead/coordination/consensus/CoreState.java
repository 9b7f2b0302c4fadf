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

/** Holds what the parts of the algorithm share. */
final class CoreState {
    final ConsensusSettings settings;
    final ReplicaId self;
    final EntryLog log;
    final MembershipHistory memberships;
    final List<Ready.Outbound> immediate = new ArrayList<>();
    final List<Ready.Outbound> afterSync = new ArrayList<>();

    long now;
    HardState hardState;
    Role role = Role.FOLLOWER;
    Optional<ReplicaId> leader = Optional.empty();
    Optional<HostId> leaderHost = Optional.empty();
    Optional<Snapshot> snapshot;
    Optional<Snapshot> installed = Optional.empty();
    long commitIndex;
    long electionDeadline;
    /** When a leader was last heard, or a majority by this leader. */
    long lastContact;
    /** Whether there was such contact at all. */
    boolean hadContact;

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

    /** Lists what a replica is doing in its term. */
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

    boolean heardFromLeaderLately() {
        return hadContact
                && leader.isPresent()
                && now - lastContact < settings.electionTimeoutMin().toNanos();
    }

    void resetElectionDeadline() {
        long min = settings.electionTimeoutMin().toNanos();
        long max = settings.electionTimeoutMax().toNanos();
        electionDeadline = now + random.nextLong(min, max);
    }

    /** Sets when to ask again if the votes asked for now do not suffice: a round trip takes far less. */
    void resetRetryDeadline() {
        long longest = settings.electionTimeoutMin().toNanos();
        electionDeadline = now + random.nextLong(longest / 4, longest);
    }

    /** Sets when to stand for election after a leader has stepped down; spread, so that one voter asks first. */
    void resetPromptDeadline() {
        electionDeadline = now + random.nextLong(settings.heartbeatInterval().toNanos());
    }

    void noteContact() {
        lastContact = now;
        hadContact = true;
    }

    void becomeFollower(long term) {
        if (term > hardState.term()) {
            hardState = new HardState(term, Optional.empty());
            forgetLeader();
        }
        if (role == Role.LEADER) {
            forgetLeader();
            resetElectionDeadline();
        }
        role = Role.FOLLOWER;
    }

    void forgetLeader() {
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
                    "entry " + index + " is committed here and contradicts the leader's log",
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
                "a stored membership is malformed",
                "empty this entry host's data folder; it then catches up from the others",
                cause);
    }
}
