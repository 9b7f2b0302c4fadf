package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MembershipOutcome;
import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.replica.LogClientAnswer.GroupAnswer;
import dev.waxwinghead.coordination.replica.LogClientAnswer.Joined;
import dev.waxwinghead.coordination.replica.LogClientAnswer.NotLeader;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Makes this replica a member with the desired settings, by forming the first group or by requesting to join.
 *
 * <p>Only the lowest of the initial voters forms a group, and only after all others have answered in the same round
 * that they know of no group. A host that lost its disk therefore never forms a second group while another initial
 * voter remembers the first. Used on the thread of the {@link ReplicaLoop} only.
 */
final class Joiner {
    private static final Logger LOG = Logger.getLogger(Joiner.class);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);
    /** The number of join intervals without contact to the group after which a member requests to join again. */
    private static final int REJOIN_AFTER_INTERVALS = 20;

    private final ReplicaSettings settings;
    private final ReplicaCore core;
    private final Member desiredMember;
    private final PeerNetwork network;
    private final LogClient logClient;
    private final ReplicaEventLog eventLog;
    private final Ticker ticker;
    private final Map<HostId, GroupAnswer> peersWithoutGroup = new HashMap<>();
    private boolean groupKnown;
    private long round;
    private long roundDeadline;
    private Optional<HostId> leaderHint = Optional.empty();
    private int nextPeer;

    Joiner(
            ReplicaSettings settings,
            ReplicaId self,
            ReplicaCore core,
            PeerNetwork network,
            LogClient logClient,
            ReplicaEventLog eventLog,
            Ticker ticker) {
        this.settings = settings;
        this.core = core;
        this.network = network;
        this.logClient = logClient;
        this.eventLog = eventLog;
        this.ticker = ticker;
        this.desiredMember = new Member(settings.host(), self, settings.address(), settings.requestsVote());
        this.roundDeadline = ticker.nanos();
    }

    void tick(long now) {
        removeSurplusVoter();
        if (now - roundDeadline < 0) {
            return;
        }
        roundDeadline = now + settings.joinInterval().toNanos();
        if (settings.voterPolicy().automatic()) {
            core.balanceVoters(settings.voterPolicy().targetVoters());
        }
        if (isDesiredMember() && !isOutOfContact(now)) {
            return;
        }
        round++;
        if (mayFormGroup()) {
            queryPeersForGroup();
        } else {
            requestJoin();
        }
    }

    /** Removes a surplus voter without waiting for the next round, since it raises the majority for no use. */
    private void removeSurplusVoter() {
        ReplicaSettings.VoterPolicy policy = settings.voterPolicy();
        if (policy.automatic() && core.membership().voters().size() > policy.targetVoters()) {
            core.balanceVoters(policy.targetVoters());
        }
    }

    private boolean isDesiredMember() {
        Optional<Member> currentMember = core.membership().member(desiredMember.replica());
        if (settings.voterPolicy().automatic()) {
            currentMember = currentMember.map(Member::withoutVote);
        }
        return core.isMembershipCommitted() && currentMember.equals(Optional.of(desiredMember));
    }

    private boolean isOutOfContact(long now) {
        long maxSilence = settings.joinInterval().toNanos() * REJOIN_AFTER_INTERVALS;
        return core.lastContact().isEmpty() || now - core.lastContact().getAsLong() > maxSilence;
    }

    private boolean mayFormGroup() {
        return settings.voterPolicy().mayFormGroup()
                && !groupKnown
                && !core.hasGroup()
                && core.lastIndex() == 0
                && settings.host().equals(Collections.min(settings.initialVoters()));
    }

    private void queryPeersForGroup() {
        peersWithoutGroup.clear();
        long askedRound = round;
        for (PeerNetwork.PeerStatus peer : network.peers()) {
            logClient.call(
                    peer.host(),
                    new LogClientMessage.GroupQuery(),
                    Deadline.after(settings.joinInterval(), ticker),
                    (answer, failure) -> handleGroupAnswer(askedRound, peer.host(), answer));
        }
        formGroupIfNoneExists();
    }

    private void handleGroupAnswer(long askedRound, HostId peer, LogClientAnswer answer) {
        if (answer instanceof GroupAnswer groupAnswer) {
            if (groupAnswer.hasGroup()) {
                groupKnown = true;
            } else if (askedRound == round) {
                peersWithoutGroup.put(peer, groupAnswer);
                formGroupIfNoneExists();
            }
        }
    }

    private void formGroupIfNoneExists() {
        if (!mayFormGroup()) {
            return;
        }
        List<Member> members = new ArrayList<>();
        members.add(desiredMember.withVote());
        for (HostId voter : settings.initialVoters()) {
            GroupAnswer groupAnswer = peersWithoutGroup.get(voter);
            if (groupAnswer != null) {
                members.add(new Member(voter, groupAnswer.replica(), groupAnswer.address(), true));
            }
        }
        if (members.size() == settings.initialVoters().size()) {
            LOG.infof("%s forms a group with members %s", settings.host(), members);
            core.formGroup(new SecureRandom().nextLong(1, Long.MAX_VALUE), members);
        }
    }

    private void requestJoin() {
        if (core.isLeader()) {
            core.join(desiredMember);
            return;
        }
        joinTarget()
                .ifPresent(host -> logClient.call(
                        host,
                        new LogClientMessage.Join(desiredMember),
                        Deadline.after(ANSWER_TIMEOUT, ticker),
                        (answer, failure) -> handleJoinAnswer(host, answer, failure)));
    }

    private Optional<HostId> joinTarget() {
        List<HostId> peers = peers();
        Optional<HostId> knownLeader =
                core.leaderHost().filter(peers::contains).or(() -> leaderHint.filter(peers::contains));
        leaderHint = Optional.empty();
        if (knownLeader.isPresent() || peers.isEmpty()) {
            return knownLeader;
        }
        return Optional.of(peers.get(nextPeer++ % peers.size()));
    }

    private List<HostId> peers() {
        return network.peers().stream().map(PeerNetwork.PeerStatus::host).toList();
    }

    private void handleJoinAnswer(HostId asked, LogClientAnswer answer, WaxwingheadException failure) {
        eventLog.joinAnswered(asked, failure == null ? answer.toString() : failure.reason());
        if (answer instanceof NotLeader notLeader) {
            leaderHint = notLeader.leader();
            if (leaderHint.filter(peers()::contains).isPresent()) {
                roundDeadline = ticker.nanos();
            }
        } else if (answer instanceof Joined joined && joined.outcome() == MembershipOutcome.REMOVED) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "replica " + desiredMember.replica() + " of " + settings.host() + " was removed from the group",
                    "empty this entry host's data folder to let it join as a new replica");
        }
    }
}
