package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.ElectionListener;
import dev.waxwinghead.coordination.consensus.Membership;
import dev.waxwinghead.coordination.consensus.VoteDecision;
import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.ReplicaStorage;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;

/**
 * Logs the decisions of a replica on elections, its members and its own membership. A decision that repeats with the
 * same outcome is logged once per interval; the next line on the same subject gives the number of lines left out.
 *
 * <p>Used on the thread of the {@link ReplicaLoop} only.
 */
final class ReplicaEventLog implements ElectionListener {
    private static final Logger LOG = Logger.getLogger(ReplicaEventLog.class);
    private static final long REPEAT_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int MAX_REMEMBERED_DECISIONS = 256;

    private final HostId self;
    private final ReplicaCounters counters;
    private final Ticker ticker;
    private final Map<String, Decision> lastDecisions = new HashMap<>();
    private Membership lastMembership = Membership.NONE;
    private boolean lastCommitted = true;
    private LogStatus.Role lastRole = LogStatus.Role.JOINING;
    private Optional<HostId> lastLeader = Optional.empty();

    ReplicaEventLog(HostId self, ReplicaCounters counters, Ticker ticker) {
        this.self = self;
        this.counters = counters;
        this.ticker = ticker;
    }

    /** Reports the state that a starting replica has recovered from its storage. */
    void recovered(ReplicaStorage storage, Membership membership) {
        ReplicaStorage.Recovered state = storage.recovered();
        long snapshotIndex = state.snapshot().map(Snapshot::lastIndex).orElse(0L);
        List<LogEntry> entries = state.entries();
        long lastIndex = entries.isEmpty()
                ? snapshotIndex
                : entries.get(entries.size() - 1).index();
        LOG.infof(
                "replica-recovered: host=%s replica=%s new=%s term=%d snapshot=%d last=%d group=%d",
                self,
                storage.replicaId(),
                storage.isNewlyCreated(),
                state.hardState().term(),
                snapshotIndex,
                lastIndex,
                membership.group());
    }

    /** Reports the members, the role and the leader, as far as they have changed. */
    void update(Membership membership, boolean committed, LogStatus.Role role, long term, Optional<HostId> leader) {
        if (!membership.equals(lastMembership) || committed != lastCommitted) {
            lastMembership = membership;
            lastCommitted = committed;
            LOG.infof(
                    "members: host=%s committed=%s voters=%s learners=%s removed=%d",
                    self,
                    committed,
                    names(membership.voters()),
                    names(membership.members().stream()
                            .filter(member -> !member.voter())
                            .toList()),
                    membership.removed().size());
        }
        boolean leaderChanged = !leader.equals(lastLeader);
        if (leaderChanged || role != lastRole) {
            lastRole = role;
            lastLeader = leader;
            LOG.infof(
                    "%s is %s in term %d, leader %s",
                    self, role, term, leader.map(HostId::value).orElse("unknown"));
        }
        if (leaderChanged) {
            counters.leaderChanges.increment();
        }
    }

    /** Reports what a host answered to the request to join, or why there was no answer. */
    void joinAnswered(HostId asked, String answer) {
        counters.joinRequests.increment();
        write("join", asked.value(), answer, "");
    }

    @Override
    public void onVotesRequested(long term, List<Member> voters, Set<ReplicaId> previouslyGrantedBy) {
        counters.elections.increment();
        List<String> granted = names(voters.stream()
                .filter(voter -> previouslyGrantedBy.contains(voter.replica()))
                .toList());
        String outcome = "voters=" + names(voters) + " previouslyGrantedBy=" + granted;
        write("votes-requested", self.value(), outcome, " term=" + term);
    }

    @Override
    public void onVoteDecided(HostId host, ReplicaId candidate, long term, boolean preVote, VoteDecision decision) {
        if (decision != VoteDecision.GRANTED) {
            counters.refusedVotes.increment();
        }
        write(preVote ? "pre-vote" : "vote", host + " as " + candidate, decision.name(), " term=" + term);
    }

    /** Logs an outcome unless the last one on the subject was the same; the details are not compared. */
    private void write(String event, String subject, String outcome, String details) {
        if (lastDecisions.size() >= MAX_REMEMBERED_DECISIONS) {
            lastDecisions.clear();
        }
        long now = ticker.nanos();
        String key = event + ' ' + subject;
        Decision last = lastDecisions.get(key);
        if (last != null && last.outcome.equals(outcome) && now - last.repeatDeadline < 0) {
            last.leftOut++;
            return;
        }
        lastDecisions.put(key, new Decision(outcome, now + REPEAT_INTERVAL_NANOS));
        LOG.infof(
                "%s: host=%s subject='%s' outcome='%s' leftOut=%d%s",
                event, self, subject, outcome, last == null ? 0 : last.leftOut, details);
    }

    private static List<String> names(List<Member> members) {
        return members.stream().map(member -> member.host().value()).toList();
    }

    /** Remembers the outcome of the last decision on a subject. */
    private static final class Decision {
        private final String outcome;
        private final long repeatDeadline;
        private int leftOut;

        Decision(String outcome, long repeatDeadline) {
            this.outcome = outcome;
            this.repeatDeadline = repeatDeadline;
        }
    }
}
