package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Changes the membership of the group, one member at a time. */
final class MembershipChanges {
    /** The time without a response after which a voter may be replaced. It begins anew with each leader. */
    private static final long VOTER_MAX_UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** The time without a response after which a learner is removed from the group. */
    private static final long LEARNER_MAX_UNRESPONSIVE_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The longest time without a response of a learner that is to become a voter; a few heartbeat intervals. */
    private static final long PROMOTION_MAX_UNRESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final CoreState state;
    private final Leadership leadership;

    MembershipChanges(CoreState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    MembershipOutcome join(Member desired) {
        if (!state.isLeader()) {
            return MembershipOutcome.NOT_LEADER;
        }
        Membership membership = state.membership();
        if (membership.removed().contains(desired.replica())) {
            return MembershipOutcome.REMOVED;
        }
        Optional<Member> current = membership.member(desired.replica());
        if (current.equals(Optional.of(desired))) {
            return isLastChangeCommitted() ? MembershipOutcome.DONE : MembershipOutcome.PENDING;
        }
        if (!isLastChangeCommitted()) {
            return MembershipOutcome.PENDING;
        }
        return current.map(member -> updateMember(member, desired)).orElseGet(() -> addLearner(desired));
    }

    MembershipOutcome remove(HostId host) {
        if (!state.isLeader()) {
            return MembershipOutcome.NOT_LEADER;
        }
        Optional<Member> member = state.membership().member(host);
        if (member.isEmpty()) {
            return isLastChangeCommitted() ? MembershipOutcome.DONE : MembershipOutcome.PENDING;
        }
        if (!isLastChangeCommitted()) {
            return MembershipOutcome.PENDING;
        }
        Membership next = state.membership().withReplicaRemoved(member.get().replica());
        if (next.voters().isEmpty()) {
            return MembershipOutcome.LAST_VOTER;
        }
        propose(next);
        return MembershipOutcome.PENDING;
    }

    /**
     * Proposes at most one change of the voters or learners. A caught-up learner becomes a voter if there are fewer
     * voters than the target, or as many and one of them is unresponsive. The voter without a response for the longest
     * time becomes a learner if there are more voters than the target. If neither applies, a learner that stays
     * unresponsive is removed; the removed learner may rejoin.
     */
    void balanceVoters(int target) {
        if (!state.isLeader() || !isLastChangeCommitted()) {
            return;
        }
        Membership membership = state.membership();
        Optional<Member> unresponsiveVoter = membership.voters().stream()
                .filter(voter -> isUnresponsive(voter, VOTER_MAX_UNRESPONSIVE_NANOS))
                .findFirst();
        Optional<Member> promotable = membership.members().stream()
                .filter(member -> !member.voter() && isPromotable(member))
                .findFirst();
        int voters = membership.voters().size();
        if (promotable.isPresent() && (voters < target || (voters == target && unresponsiveVoter.isPresent()))) {
            propose(membership.withMember(promotable.get().withVote()));
        } else if (voters > target) {
            surplusVoter(membership.voters()).ifPresent(voter -> propose(membership.withMember(voter.withoutVote())));
        } else {
            removeUnresponsiveLearner(membership);
        }
    }

    private void removeUnresponsiveLearner(Membership membership) {
        membership.members().stream()
                .filter(member -> !member.voter() && isUnresponsive(member, LEARNER_MAX_UNRESPONSIVE_NANOS))
                .findFirst()
                .ifPresent(member -> propose(membership.withoutMember(member.replica())));
    }

    /** Returns the voter without a response for the longest time, of several the last one, but never this replica. */
    private Optional<Member> surplusVoter(List<Member> voters) {
        return voters.stream()
                .filter(voter -> !voter.replica().equals(state.self))
                .reduce((first, second) ->
                        leadership.unresponsiveNanos(first.replica()) > leadership.unresponsiveNanos(second.replica())
                                ? first
                                : second);
    }

    private boolean isUnresponsive(Member member, long maxNanos) {
        return !member.replica().equals(state.self) && leadership.unresponsiveNanos(member.replica()) > maxNanos;
    }

    private boolean isPromotable(Member member) {
        return leadership.isCaughtUp(member.replica())
                && leadership.unresponsiveNanos(member.replica()) < PROMOTION_MAX_UNRESPONSIVE_NANOS;
    }

    /** Returns whether the last membership change is committed and this leader can store the next one. */
    private boolean isLastChangeCommitted() {
        return !state.refusesWrites
                && leadership.hasCommittedInOwnTerm()
                && state.memberships.currentIndex() <= state.commitIndex;
    }

    private MembershipOutcome updateMember(Member current, Member desired) {
        boolean promote = desired.voter() && leadership.isCaughtUp(current.replica());
        Member next = new Member(current.host(), current.replica(), desired.address(), current.voter() || promote);
        if (!next.equals(current)) {
            propose(state.membership().withMember(next));
            return MembershipOutcome.PENDING;
        }
        return current.voter() || !desired.voter() ? MembershipOutcome.DONE : MembershipOutcome.PENDING;
    }

    private MembershipOutcome addLearner(Member desired) {
        Membership membership = state.membership();
        Optional<Member> previous = membership.member(desired.host());
        if (previous.isPresent()) {
            membership = membership.withReplicaRemoved(previous.get().replica());
        }
        boolean hasCapacity = membership.members().size() < Membership.MAX_MEMBERS
                && !membership.voters().isEmpty();
        if (hasCapacity) {
            propose(membership.withMember(new Member(desired.host(), desired.replica(), desired.address(), false)));
        }
        return MembershipOutcome.PENDING;
    }

    private void propose(Membership next) {
        leadership.append(LogEntry.Kind.MEMBERSHIP, next.encode());
    }
}
