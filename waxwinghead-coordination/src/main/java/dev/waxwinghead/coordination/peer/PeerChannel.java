package dev.waxwinghead.coordination.peer;

/**
 * Lists the uses of the connections between entry hosts.
 *
 * @since 0.1
 */
public enum PeerChannel {
    /** Messages of the replicated log. */
    CONSENSUS,
    /** Proposals and read barriers passed on to the leader, and joining. */
    LOG_CLIENT,
    /** Announcements of upstreams, and their load. */
    UPSTREAMS,
    /** Lending of slots and connections of upstreams. */
    SHARES,
    /** Capacity reports and requests between schedulers. */
    SCHEDULERS,
    /** The revision that each entry host has in force. */
    STATUS,
    /** Calls about submitted jobs, handed to the acting scheduler. */
    JOBS
}
