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

/** Asks for votes and gives them. */
final class Elections {
    private final CoreState state;
    private final Leadership leadership;
    private final Set<ReplicaId> granted = new HashSet<>();
    private boolean ownVoteOnDisk;

    Elections(CoreState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    void tick() {
        if (state.isLeader() || state.now - state.electionDeadline < 0) {
            return;
        }
        state.resetElectionDeadline();
        state.forgetLeader();
        if (state.membership().isVoter(state.self)) {
            startPreVote();
        }
    }

    /** Steps down and tells the other voters. */
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

    /** Forgets a leader that has stepped down, and stands for election soon. */
    void leaderResigned(Message.Resignation resignation) {
        if (state.leader.equals(Optional.of(resignation.header().from()))) {
            state.forgetLeader();
            state.resetPromptDeadline();
        }
    }

    /** Counts the own vote, which is on disk now. */
    void persisted() {
        if (state.role == Role.CANDIDATE && !ownVoteOnDisk) {
            ownVoteOnDisk = true;
            count(state.self);
        }
    }

    void request(HostId host, VoteRequest request) {
        if (!mayVoteFor(request.header().from()) || state.heardFromLeaderLately()) {
            refuse(host, request);
            return;
        }
        if (request.preVote()) {
            answerPreVote(host, request);
        } else {
            answerVote(host, request);
        }
    }

    void response(VoteResponse response) {
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
            count(response.header().from());
        }
    }

    private void startPreVote() {
        state.role = Role.PRE_CANDIDATE;
        state.resetRetryDeadline();
        granted.clear();
        for (Member voter : state.membership().voters()) {
            if (!voter.replica().equals(state.self)) {
                state.sendNow(voter.host(), voteRequest(voter, true, state.term() + 1));
            }
        }
        count(state.self);
    }

    private void startElection() {
        state.role = Role.CANDIDATE;
        state.hardState = new HardState(state.term() + 1, Optional.of(state.self));
        state.resetRetryDeadline();
        granted.clear();
        ownVoteOnDisk = false;
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

    private void count(ReplicaId voter) {
        Membership membership = state.membership();
        if (!membership.isVoter(voter)) {
            return;
        }
        granted.add(voter);
        if (granted.size() <= membership.voters().size() / 2) {
            return;
        }
        if (state.role == Role.PRE_CANDIDATE) {
            startElection();
        } else {
            leadership.start();
        }
    }

    private boolean mayVoteFor(ReplicaId candidate) {
        return !state.membership().removed().contains(candidate);
    }

    private void answerPreVote(HostId host, VoteRequest request) {
        boolean grant =
                request.header().term() > state.term() && state.logIsUpToDate(request.lastIndex(), request.lastTerm());
        if (!grant) {
            refuse(host, request);
            return;
        }
        ReplicaId candidate = request.header().from();
        state.sendAfterSync(
                host,
                new VoteResponse(state.headerTo(candidate, request.header().term()), true, true));
    }

    private void answerVote(HostId host, VoteRequest request) {
        ReplicaId candidate = request.header().from();
        if (request.header().term() > state.term()) {
            state.becomeFollower(request.header().term());
        }
        boolean free = state.hardState.votedFor().map(candidate::equals).orElse(true);
        boolean grant = request.header().term() == state.term()
                && free
                && state.logIsUpToDate(request.lastIndex(), request.lastTerm());
        if (!grant) {
            refuse(host, request);
            return;
        }
        state.role = Role.FOLLOWER;
        state.hardState = new HardState(state.term(), Optional.of(candidate));
        state.resetElectionDeadline();
        state.sendAfterSync(host, new VoteResponse(state.headerTo(candidate), false, true));
    }

    private void refuse(HostId host, VoteRequest request) {
        ReplicaId candidate = request.header().from();
        state.sendAfterSync(host, new VoteResponse(state.headerTo(candidate), request.preVote(), false));
    }
}
