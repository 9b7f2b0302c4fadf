package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.log.LogStatus.Member;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.Set;

/**
 * Receives the decisions of a {@link ReplicaCore} in elections, on the thread that calls the core.
 *
 * @since 0.2
 */
public interface ElectionListener {
    /** Ignores all decisions. */
    ElectionListener NONE = new ElectionListener() {};

    /**
     * Reports that this replica requests votes.
     *
     * @param term the term that the replica wants to lead
     * @param voters the voters whose majority is needed, this replica included
     * @param previouslyGrantedBy the voters that granted the preceding request, empty if there was none
     */
    default void onVotesRequested(long term, List<Member> voters, Set<ReplicaId> previouslyGrantedBy) {}

    /**
     * Reports how this replica decided on the request of a candidate.
     *
     * @param host the host of the candidate
     * @param candidate the candidate
     * @param term the term that the candidate wants to lead
     * @param preVote whether the candidate only asks whether it would get the vote
     * @param decision the decision
     */
    default void onVoteDecided(HostId host, ReplicaId candidate, long term, boolean preVote, VoteDecision decision) {}
}
