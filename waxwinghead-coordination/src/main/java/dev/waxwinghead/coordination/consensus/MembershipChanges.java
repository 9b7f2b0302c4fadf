package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Changes the membership, one member at a time. */
final class MembershipChanges {
    /** How long a voter may be silent before another member gets its vote: longer than an election takes. */
    private static final long SILENT_VOTER_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** How long a learner may be silent before it is dropped. */
    private static final long DROPPED_LEARNER_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Within which time a learner must have answered to get a vote: a few heartbeats. */
    private static final long PROMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final CoreState state;
    private final Leadership leadership;

    MembershipChanges(CoreState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    MembershipOutcome join(Member wanted) {
        if (!state.isLeader()) {
            return MembershipOutcome.NOT_LEADER;
        }
        Membership membership = state.membership();
        if (membership.removed().contains(wanted.replica())) {
            return MembershipOutcome.REMOVED;
        }
        Optional<Member> known = membership.member(wanted.replica());
        if (known.equals(Optional.of(wanted))) {
            return settled() ? MembershipOutcome.DONE : MembershipOutcome.PENDING;
        }
        if (!settled()) {
            return MembershipOutcome.PENDING;
        }
        return known.map(member -> update(member, wanted)).orElseGet(() -> admit(wanted));
    }

    MembershipOutcome remove(HostId host) {
        if (!state.isLeader()) {
            return MembershipOutcome.NOT_LEADER;
        }
        Optional<Member> member = state.membership().member(host);
        if (member.isEmpty()) {
            return settled() ? MembershipOutcome.DONE : MembershipOutcome.PENDING;
        }
        if (!settled()) {
            return MembershipOutcome.PENDING;
        }
        Membership next = state.membership().without(member.get().replica());
        if (next.voters().isEmpty()) {
            return MembershipOutcome.LAST_VOTER;
        }
        propose(next);
        return MembershipOutcome.PENDING;
    }

    /**
     * Brings the number of voters to the target: a learner that has caught up gets a vote where one is missing or where
     * a voter has fallen silent, and the silent voter loses its own. A learner that stays silent is dropped; it may
     * join again.
     */
    void balance(int target) {
        if (!state.isLeader() || !settled()) {
            return;
        }
        Membership membership = state.membership();
        Optional<Member> silentVoter = membership.voters().stream()
                .filter(voter -> isSilent(voter, SILENT_VOTER_NANOS))
                .findFirst();
        Optional<Member> spare = membership.members().stream()
                .filter(member -> !member.voter() && isPromotable(member))
                .findFirst();
        int voters = membership.voters().size();
        if (spare.isPresent() && (voters < target || (voters == target && silentVoter.isPresent()))) {
            propose(membership.with(spare.get().withVote()));
        } else if (voters > target) {
            silentVoter
                    .or(() -> lastOther(membership.voters()))
                    .ifPresent(voter -> propose(membership.with(voter.withoutVote())));
        } else {
            dropSilentLearner(membership);
        }
    }

    private void dropSilentLearner(Membership membership) {
        membership.members().stream()
                .filter(member -> !member.voter() && isSilent(member, DROPPED_LEARNER_NANOS))
                .findFirst()
                .ifPresent(member -> propose(membership.dropping(member.replica())));
    }

    private Optional<Member> lastOther(List<Member> voters) {
        return voters.stream()
                .filter(voter -> !voter.replica().equals(state.self))
                .reduce((first, second) -> second);
    }

    private boolean isSilent(Member member, long bound) {
        return !member.replica().equals(state.self) && leadership.silence(member.replica()) > bound;
    }

    private boolean isPromotable(Member member) {
        return leadership.isCaughtUp(member.replica()) && leadership.silence(member.replica()) < PROMPT_NANOS;
    }

    /** Tells whether the last change is committed and so the next one may start. */
    private boolean settled() {
        return leadership.knowsCommit() && state.memberships.currentIndex() <= state.commitIndex;
    }

    private MembershipOutcome update(Member known, Member wanted) {
        boolean promote = wanted.voter() && leadership.isCaughtUp(known.replica());
        Member next = new Member(known.host(), known.replica(), wanted.address(), known.voter() || promote);
        if (!next.equals(known)) {
            propose(state.membership().with(next));
            return MembershipOutcome.PENDING;
        }
        return known.voter() || !wanted.voter() ? MembershipOutcome.DONE : MembershipOutcome.PENDING;
    }

    private MembershipOutcome admit(Member wanted) {
        Membership membership = state.membership();
        Optional<Member> earlier = membership.member(wanted.host());
        if (earlier.isPresent()) {
            membership = membership.without(earlier.get().replica());
        }
        boolean room = membership.members().size() < Membership.MAX_MEMBERS
                && !membership.voters().isEmpty();
        if (room) {
            propose(membership.with(new Member(wanted.host(), wanted.replica(), wanted.address(), false)));
        }
        return MembershipOutcome.PENDING;
    }

    private void propose(Membership next) {
        leadership.append(LogEntry.Kind.MEMBERSHIP, next.encode());
    }
}
