package dev.waxwinghead.coordination.log;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * Describes the state of a replica of the log at one moment.
 *
 * @param replica the id of the described replica
 * @param role the role of the replica in its group
 * @param term the newest term that the replica knows
 * @param leader the host of the leader, empty if the replica knows none
 * @param committedIndex the last index that the replica knows to be committed
 * @param appliedIndex the last index that the state machine of the replica has applied
 * @param majorityInReach whether, within the election timeout, the replica had contact with a leader or, as the leader,
 *     with a majority of the voters
 * @param outOfContactSinceEpochMillis the wall-clock time of the last such contact, or of the start of the replica if
 *     there was none, in milliseconds since the epoch; 0 while {@code majorityInReach} is true
 * @param members the members in the newest membership that the replica knows
 * @since 0.1
 */
public record LogStatus(
        ReplicaId replica,
        Role role,
        long term,
        Optional<HostId> leader,
        long committedIndex,
        long appliedIndex,
        boolean majorityInReach,
        long outOfContactSinceEpochMillis,
        List<Member> members) {
    /** Creates a status with an unmodifiable copy of the members. */
    public LogStatus {
        members = List.copyOf(members);
    }

    /** Enumerates the roles of a replica. */
    public enum Role {
        /** The replica is not a member of a group yet. */
        JOINING,
        /** The replica follows the leader without a vote. */
        LEARNER,
        /** The replica follows the leader and votes. */
        FOLLOWER,
        /** The replica requests votes. */
        CANDIDATE,
        /** The replica leads its term and orders the log. */
        LEADER
    }

    /**
     * Describes one member of the group.
     *
     * @param host the entry host
     * @param replica the replica that runs on the host
     * @param address the address of the host's peer port, as {@code ip:port}
     * @param voter whether the member votes
     */
    public record Member(HostId host, ReplicaId replica, String address, boolean voter) {
        /**
         * Returns a copy of this member with a vote.
         *
         * @return the member, never null
         */
        public Member withVote() {
            return new Member(host, replica, address, true);
        }

        /**
         * Returns a copy of this member without a vote.
         *
         * @return the member, never null
         */
        public Member withoutVote() {
            return new Member(host, replica, address, false);
        }
    }
}
