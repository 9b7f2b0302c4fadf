package dev.waxwinghead.coordination.storage;

import dev.waxwinghead.model.id.ReplicaId;
import java.util.Optional;

/**
 * Holds the state that a replica must persist before it answers a vote request.
 *
 * @param term the newest term that the replica knows
 * @param votedFor the candidate that the replica voted for in that term, empty if none
 * @since 0.1
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {
    /** The state of a new replica, before its first term. */
    public static final HardState INITIAL = new HardState(0, Optional.empty());
}
