package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.CoreState.Role;
import dev.waxwinghead.coordination.consensus.Message.VoteRequest;
import dev.waxwinghead.coordination.consensus.Message.VoteResponse;
import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Requests votes from the other voters and answers their vote requests. */
final class Elections {
    private final CoreState state;
    private final Leadership leadership;
    private final Set<ReplicaId> grantedBy = new HashSet<>();
    private boolean ownVotePersisted;

    Elections(CoreState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    void tick() {
        if (state.isLeader() || state.now - state.electionDeadline < 0) {
            return;
        }
        state.resetElectionDeadline();
        state.clearLeader();
        if (state.membership().isVoter(state.self) && !state.refusesWrites) {
            startPreVote();
        }
    }

    /** Gives up a candidacy that was not stored and therefore not sent. */
    void withdraw(HardState stored) {
        if (state.role == Role.CANDIDATE) {
            state.hardState = stored;
        }
        if (!state.isLeader()) {
            state.role = Role.FOLLOWER;
        }
    }

    /** Steps down and notifies the other voters. */
    void resign() {
        if (!state.isLeader()) {
            return;
        }
        for (Member voter : state.membership().voters()) {
            if (!voter.replica().equals(state.self)) {
                state.sendNow(voter.host(), new Message.Resignation(state.headerTo(voter.replica())));
            }
        }
        state.becomeFollower(state.term());
    }

    /** Clears a leader that has resigned and schedules an early election. */
    void handleResignation(Message.Resignation resignation) {
        if (state.leader.equals(Optional.of(resignation.header().from()))) {
            state.clearLeader();
            state.resetSuccessionDeadline();
        }
    }

    /** Counts the vote of this replica for itself, once the vote is on disk. */
    void onPersisted() {
        if (state.role == Role.CANDIDATE && !ownVotePersisted) {
            ownVotePersisted = true;
            countVote(state.self);
        }
    }

    void handleVoteRequest(HostId host, VoteRequest request) {
        ReplicaId candidate = request.header().from();
        long term = request.header().term();
        VoteDecision decision = decide(request);
        state.electionListener.onVoteDecided(host, candidate, term, request.preVote(), decision);
        if (decision == VoteDecision.STORAGE_REFUSES_WRITES) {
            return;
        }
        if (decision != VoteDecision.GRANTED) {
            state.sendAfterSync(host, new VoteResponse(state.headerTo(candidate), request.preVote(), false));
        } else if (request.preVote()) {
            state.sendAfterSync(host, new VoteResponse(state.headerTo(candidate, term), true, true));
        } else {
            vote(host, candidate);
        }
    }

    void handleVoteResponse(VoteResponse response) {
        if (!response.granted()) {
            return;
        }
        boolean preVoteCounts = response.preVote()
                && state.role == Role.PRE_CANDIDATE
                && response.header().term() == state.term() + 1;
        boolean voteCounts = !response.preVote()
                && state.role == Role.CANDIDATE
                && response.header().term() == state.term();
        if (preVoteCounts || voteCounts) {
            countVote(response.header().from());
        }
    }

    private void startPreVote() {
        boolean repeated = state.role != Role.FOLLOWER;
        state.electionListener.onVotesRequested(
                state.term() + 1, state.membership().voters(), repeated ? Set.copyOf(grantedBy) : Set.of());
        state.role = Role.PRE_CANDIDATE;
        state.resetRetryDeadline();
        grantedBy.clear();
        for (Member voter : state.membership().voters()) {
            if (!voter.replica().equals(state.self)) {
                state.sendNow(voter.host(), voteRequest(voter, true, state.term() + 1));
            }
        }
        countVote(state.self);
    }

    private void startElection() {
        state.role = Role.CANDIDATE;
        state.hardState = new HardState(state.term() + 1, Optional.of(state.self));
        state.resetRetryDeadline();
        grantedBy.clear();
        ownVotePersisted = false;
        for (Member voter : state.membership().voters()) {
            if (!voter.replica().equals(state.self)) {
                state.sendAfterSync(voter.host(), voteRequest(voter, false, state.term()));
            }
        }
    }

    private VoteRequest voteRequest(Member voter, boolean preVote, long term) {
        return new VoteRequest(
                state.headerTo(voter.replica(), term), preVote, state.log.lastIndex(), state.log.lastTerm());
    }

    private void countVote(ReplicaId voter) {
        Membership membership = state.membership();
        if (!membership.isVoter(voter)) {
            return;
        }
        grantedBy.add(voter);
        if (grantedBy.size() <= membership.voters().size() / 2) {
            return;
        }
        if (state.role == Role.PRE_CANDIDATE) {
            startElection();
        } else {
            leadership.start();
        }
    }

    /** Decides on a request. Adopts the newer term of a request for a vote, unless the candidate is refused at once. */
    private VoteDecision decide(VoteRequest request) {
        if (state.refusesWrites) {
            return VoteDecision.STORAGE_REFUSES_WRITES;
        }
        if (state.membership().removed().contains(request.header().from())) {
            return VoteDecision.CANDIDATE_REMOVED;
        }
        if (state.hasRecentLeaderContact()) {
            return VoteDecision.LEADER_IN_CONTACT;
        }
        return request.preVote() ? decidePreVote(request) : decideVote(request);
    }

    private VoteDecision decidePreVote(VoteRequest request) {
        return request.header().term() <= state.term() ? VoteDecision.TERM_OUTDATED : compareLogs(request);
    }

    private VoteDecision decideVote(VoteRequest request) {
        ReplicaId candidate = request.header().from();
        if (request.header().term() > state.term()) {
            state.becomeFollower(request.header().term());
        }
        if (request.header().term() != state.term()) {
            return VoteDecision.TERM_OUTDATED;
        }
        boolean voteAvailable =
                state.hardState.votedFor().map(candidate::equals).orElse(true);
        return voteAvailable ? compareLogs(request) : VoteDecision.VOTED_FOR_ANOTHER;
    }

    private VoteDecision compareLogs(VoteRequest request) {
        return state.logIsUpToDate(request.lastIndex(), request.lastTerm())
                ? VoteDecision.GRANTED
                : VoteDecision.LOG_OUTDATED;
    }

    private void vote(HostId host, ReplicaId candidate) {
        state.role = Role.FOLLOWER;
        state.hardState = new HardState(state.term(), Optional.of(candidate));
        state.resetElectionDeadline();
        state.sendAfterSync(host, new VoteResponse(state.headerTo(candidate), false, true));
    }
}
