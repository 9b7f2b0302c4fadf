package dev.waxwinghead.coordination.peer;

/**
 * Enumerates the channels that share the connections between entry hosts.
 *
 * @since 0.1
 */
public enum PeerChannel {
    /** Consensus messages of the replicated log. */
    CONSENSUS,
    /** Proposals, read barriers and removals forwarded to the leader, and requests to join a group. */
    LOG_CLIENT,
    /** Announcements and load of upstreams. */
    UPSTREAMS,
    /** Leases of upstream slots and connections between entry hosts. */
    SHARES,
    /** Capacity reports and requests between schedulers. */
    SCHEDULERS,
    /** The configuration revision in force on each entry host. */
    STATUS,
    /** Calls about submitted jobs, forwarded to the acting scheduler, and the estimates that it has learned. */
    JOBS
}
