package dev.waxwinghead.coordination.consensus;

/**
 * Lists what can become of a request to change the membership.
 *
 * @since 0.1
 */
public enum MembershipOutcome {
    /** The membership is as wanted, and committed. */
    DONE,
    /** A change is under way; the same request is to be sent again. */
    PENDING,
    /** This replica does not lead. */
    NOT_LEADER,
    /** The replica was removed and may never take part again. */
    REMOVED,
    /** The last voter can't be removed. */
    LAST_VOTER
}
