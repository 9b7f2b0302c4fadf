package dev.waxwinghead.coordination.consensus;

/**
 * Enumerates the outcomes of a request to change the membership.
 *
 * @since 0.1
 */
public enum MembershipOutcome {
    /** The requested membership is in force and committed. */
    DONE,
    /** A change is in progress; the caller must send the same request again. */
    PENDING,
    /** This replica isn't the leader. */
    NOT_LEADER,
    /** The replica was removed and may never rejoin. */
    REMOVED,
    /** The member is the last voter and can't be removed. */
    LAST_VOTER
}
