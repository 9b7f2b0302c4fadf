package dev.waxwinghead.coordination.log;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * Describes a replica of the log at one moment.
 *
 * @param replica the replica's own id
 * @param role what the replica does
 * @param term the newest term it knows
 * @param leader the leader it follows, if it knows one
 * @param committedIndex up to where it knows the log to be committed
 * @param appliedIndex up to where its state machine has applied the log
 * @param majorityInReach whether it had contact with a leader that a majority confirms within the election timeout
 * @param outOfContactSinceEpochMillis since when it has had no such contact, in wall-clock milliseconds; 0 while it has
 * @param members the members of the group
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
    /** Copies the members. */
    public LogStatus {
        members = List.copyOf(members);
    }

    /** Lists what a replica can be doing. */
    public enum Role {
        /** Not yet part of a group. */
        JOINING,
        /** Follows without a vote. */
        LEARNER,
        /** Follows and votes. */
        FOLLOWER,
        /** Asks for votes. */
        CANDIDATE,
        /** Orders the log. */
        LEADER
    }

    /**
     * Describes one member of the group.
     *
     * @param host the entry host
     * @param replica the replica that lives there
     * @param address the address of its peer port, as {@code ip:port}
     * @param voter whether it votes
     */
    public record Member(HostId host, ReplicaId replica, String address, boolean voter) {
        /**
         * Returns this member with a vote.
         *
         * @return the member, never null
         */
        public Member withVote() {
            return new Member(host, replica, address, true);
        }

        /**
         * Returns this member without a vote.
         *
         * @return the member, never null
         */
        public Member withoutVote() {
            return new Member(host, replica, address, false);
        }
    }
}
