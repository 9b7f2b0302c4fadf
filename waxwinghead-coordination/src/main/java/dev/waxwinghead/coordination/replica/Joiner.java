package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.MembershipOutcome;
import dev.waxwinghead.coordination.consensus.ReplicaCore;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.coordination.replica.LogClientAnswer.HelloAnswer;
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
 * Makes this replica a member as it wants to be: it forms the first group or asks the leader to take it in.
 *
 * <p>A group is only formed by the lowest of the initial voters, and only once all of them have answered in one round
 * that they know of none. So a host that lost its disk never forms a second group while another voter remembers the
 * first. Runs on the thread of the loop only.
 */
final class Joiner {
    private static final Logger LOG = Logger.getLogger(Joiner.class);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);
    private static final int SILENT_INTERVALS = 20;

    private final ReplicaSettings settings;
    private final ReplicaCore core;
    private final Member wanted;
    private final PeerNetwork network;
    private final LeaderLink link;
    private final Ticker ticker;
    private final Map<HostId, HelloAnswer> emptyPeers = new HashMap<>();
    private boolean groupSeen;
    private long round;
    private long roundDeadline;
    private Optional<HostId> leaderHint = Optional.empty();
    private int nextPeer;

    Joiner(
            ReplicaSettings settings,
            ReplicaId self,
            ReplicaCore core,
            PeerNetwork network,
            LeaderLink link,
            Ticker ticker) {
        this.settings = settings;
        this.core = core;
        this.network = network;
        this.link = link;
        this.ticker = ticker;
        this.wanted = new Member(settings.host(), self, settings.address(), settings.asksForVote());
        this.roundDeadline = ticker.nanos();
    }

    void tick(long now) {
        if (now - roundDeadline < 0) {
            return;
        }
        roundDeadline = now + settings.joinInterval().toNanos();
        if (settings.voting().automatic()) {
            core.balanceVoters(settings.voting().target());
        }
        if (isMemberAsWanted() && !silentForLong(now)) {
            return;
        }
        round++;
        if (mayForm()) {
            askForGroups();
        } else {
            askToJoin();
        }
    }

    private boolean isMemberAsWanted() {
        Optional<Member> present = core.membership().member(wanted.replica());
        if (settings.voting().automatic()) {
            present = present.map(Member::withoutVote);
        }
        return core.membershipCommitted() && present.equals(Optional.of(wanted));
    }

    private boolean silentForLong(long now) {
        long silence = settings.joinInterval().toNanos() * SILENT_INTERVALS;
        return core.lastContact().isEmpty() || now - core.lastContact().getAsLong() > silence;
    }

    private boolean mayForm() {
        return settings.voting().mayForm()
                && !groupSeen
                && !core.hasGroup()
                && core.lastIndex() == 0
                && settings.host().equals(Collections.min(settings.initialVoters()));
    }

    private void askForGroups() {
        emptyPeers.clear();
        long asked = round;
        for (PeerNetwork.PeerStatus peer : network.peers()) {
            link.call(
                    peer.host(),
                    new LogClientMessage.Hello(),
                    Deadline.after(settings.joinInterval(), ticker),
                    (answer, failure) -> heard(asked, peer.host(), answer));
        }
        formIfAllAreEmpty();
    }

    private void heard(long asked, HostId peer, LogClientAnswer answer) {
        if (answer instanceof HelloAnswer hello) {
            if (hello.knowsGroup()) {
                groupSeen = true;
            } else if (asked == round) {
                emptyPeers.put(peer, hello);
                formIfAllAreEmpty();
            }
        }
    }

    private void formIfAllAreEmpty() {
        if (!mayForm()) {
            return;
        }
        List<Member> members = new ArrayList<>();
        members.add(wanted.withVote());
        for (HostId voter : settings.initialVoters()) {
            HelloAnswer hello = emptyPeers.get(voter);
            if (hello != null) {
                members.add(new Member(voter, hello.replica(), hello.address(), true));
            }
        }
        if (members.size() == settings.initialVoters().size()) {
            LOG.infof("%s forms a group of %s", settings.host(), members);
            core.form(new SecureRandom().nextLong(1, Long.MAX_VALUE), members);
        }
    }

    private void askToJoin() {
        if (core.isLeader()) {
            core.join(wanted);
            return;
        }
        target().ifPresent(host -> link.call(
                host,
                new LogClientMessage.Join(wanted),
                Deadline.after(ANSWER_TIMEOUT, ticker),
                (answer, failure) -> joinAnswered(answer)));
    }

    private Optional<HostId> target() {
        Optional<HostId> known = core.leader().or(() -> leaderHint);
        leaderHint = Optional.empty();
        if (known.isPresent() && !known.get().equals(settings.host())) {
            return known;
        }
        List<PeerNetwork.PeerStatus> peers = network.peers();
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(peers.get(nextPeer++ % peers.size()).host());
    }

    private void joinAnswered(LogClientAnswer answer) {
        if (answer instanceof NotLeader notLeader) {
            leaderHint = notLeader.leader();
            if (leaderHint.isPresent()) {
                roundDeadline = ticker.nanos();
            }
        } else if (answer instanceof Joined joined && joined.outcome() == MembershipOutcome.REMOVED) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "replica " + wanted.replica() + " of " + settings.host() + " was removed from the group",
                    "empty this entry host's data folder to let it join as a new replica");
        }
    }
}
