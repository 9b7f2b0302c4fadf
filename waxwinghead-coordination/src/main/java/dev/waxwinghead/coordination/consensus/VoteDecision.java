package dev.waxwinghead.coordination.consensus;

/**
 * Enumerates the decisions on a request for a vote.
 *
 * @since 0.2
 */
public enum VoteDecision {
    /** The vote is granted. */
    GRANTED,
    /** The candidate was removed from the group. */
    CANDIDATE_REMOVED,
    /** The replica had contact with a leader within the election timeout. */
    LEADER_IN_CONTACT,
    /** The replica knows a newer term than the candidate. */
    TERM_OUTDATED,
    /** The replica has voted for another candidate in this term. */
    VOTED_FOR_ANOTHER,
    /** The candidate lacks entries that the replica holds. */
    LOG_OUTDATED,
    /** The storage of the replica refuses writes, so that the request is not answered. */
    STORAGE_REFUSES_WRITES
}
