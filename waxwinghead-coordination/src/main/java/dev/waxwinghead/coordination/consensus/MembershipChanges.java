package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.model.id.HostId;
import java.util.Optional;

/** Changes the membership, one member at a time. */
final class MembershipChanges {
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
