package dev.waxwinghead.coordination.storage;

import dev.waxwinghead.model.id.ReplicaId;
import java.util.Optional;

/**
 * Holds what a replica must remember before it answers a vote.
 *
 * @param term the newest term it knows
 * @param votedFor the replica it voted for in that term, if any
 * @since 0.1
 */
public record HardState(long term, Optional<ReplicaId> votedFor) {
    /** The state of a replica that has seen nothing. */
    public static final HardState INITIAL = new HardState(0, Optional.empty());
}
