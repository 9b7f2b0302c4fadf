package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.ConsensusSettings;
import dev.waxwinghead.model.id.HostId;
import java.time.Duration;
import java.util.List;

/**
 * Holds the settings of a replica.
 *
 * @param host the entry host that the replica runs on
 * @param address the address of the host's peer port, as {@code ip:port}
 * @param initialVoters the hosts that form the first group, not empty; must be the same list on every host. Unless
 *     {@code voterPolicy} is automatic, the replicas on these hosts vote, a new replica once it has caught up, and all
 *     others are learners
 * @param consensus the timing and limits of the consensus algorithm
 * @param snapshotInterval the number of entries applied between two snapshots
 * @param maxCommandBytes the maximum size of a command, in bytes; must fit into a frame of the peer network
 * @param maxOpenRequests the maximum number of open proposals, reads and removals
 * @param leaderWaitTimeout the time that a request waits for a leader before it fails with kind {@code NO_MAJORITY}
 * @param joinInterval the interval at which a replica requests to join until it is a member with the desired settings
 * @param voterPolicy the rule that selects the voters and allows this host to form a group
 * @since 0.1
 */
public record ReplicaSettings(
        HostId host,
        String address,
        List<HostId> initialVoters,
        ConsensusSettings consensus,
        long snapshotInterval,
        int maxCommandBytes,
        int maxOpenRequests,
        Duration leaderWaitTimeout,
        Duration joinInterval,
        VoterPolicy voterPolicy) {
    private static final long DEFAULT_SNAPSHOT_INTERVAL = 4096;
    private static final int DEFAULT_MAX_COMMAND_BYTES = 512 * 1024;
    private static final int DEFAULT_MAX_OPEN_REQUESTS = 10_000;

    /** Copies the initial voters and checks that the list is not empty. */
    public ReplicaSettings {
        initialVoters = List.copyOf(initialVoters);
        if (initialVoters.isEmpty()) {
            throw new IllegalArgumentException("initialVoters must not be empty");
        }
    }

    /**
     * Creates settings with the default timing and limits.
     *
     * @param host the entry host, not null
     * @param address the address of the host's peer port, as {@code ip:port}
     * @param initialVoters the hosts that form the first group
     * @return the settings, never null
     */
    public static ReplicaSettings of(HostId host, String address, List<HostId> initialVoters) {
        return new ReplicaSettings(
                host,
                address,
                initialVoters,
                ConsensusSettings.defaults(),
                DEFAULT_SNAPSHOT_INTERVAL,
                DEFAULT_MAX_COMMAND_BYTES,
                DEFAULT_MAX_OPEN_REQUESTS,
                Duration.ofSeconds(4),
                Duration.ofMillis(250),
                VoterPolicy.ofInitialVoters());
    }

    /**
     * Returns a copy with another snapshot interval.
     *
     * @param entries the number of entries applied between two snapshots
     * @return the settings, never null
     */
    public ReplicaSettings withSnapshotInterval(long entries) {
        return new ReplicaSettings(
                host,
                address,
                initialVoters,
                consensus,
                entries,
                maxCommandBytes,
                maxOpenRequests,
                leaderWaitTimeout,
                joinInterval,
                voterPolicy);
    }

    /**
     * Returns a copy with other settings of the consensus algorithm.
     *
     * @param settings the settings of the consensus algorithm, not null
     * @return the settings, never null
     */
    public ReplicaSettings withConsensus(ConsensusSettings settings) {
        return new ReplicaSettings(
                host,
                address,
                initialVoters,
                settings,
                snapshotInterval,
                maxCommandBytes,
                maxOpenRequests,
                leaderWaitTimeout,
                joinInterval,
                voterPolicy);
    }

    /**
     * Returns a copy with another rule that selects the voters.
     *
     * @param rule the rule, not null
     * @return the settings, never null
     */
    public ReplicaSettings withVoterPolicy(VoterPolicy rule) {
        return new ReplicaSettings(
                host,
                address,
                initialVoters,
                consensus,
                snapshotInterval,
                maxCommandBytes,
                maxOpenRequests,
                leaderWaitTimeout,
                joinInterval,
                rule);
    }

    /**
     * Returns a copy with another maximum command size.
     *
     * @param bytes the maximum size of a command, in bytes
     * @return the settings, never null
     */
    public ReplicaSettings withMaxCommandBytes(int bytes) {
        return new ReplicaSettings(
                host,
                address,
                initialVoters,
                consensus,
                snapshotInterval,
                bytes,
                maxOpenRequests,
                leaderWaitTimeout,
                joinInterval,
                voterPolicy);
    }

    boolean requestsVote() {
        return !voterPolicy.automatic() && initialVoters.contains(host);
    }

    /**
     * Defines which members vote, and whether this host may form a group.
     *
     * @param targetVoters the number of voters; 0 if the replicas on the initial voters vote, a new replica once it has
     *     caught up
     * @param mayFormGroup whether this host may form a group
     */
    public record VoterPolicy(int targetVoters, boolean mayFormGroup) {
        /** Checks that the target is 0 or odd. */
        public VoterPolicy {
            if (targetVoters < 0 || (targetVoters > 0 && targetVoters % 2 == 0)) {
                throw new IllegalArgumentException("target of " + targetVoters + " voters must be 0 or odd");
            }
        }

        /**
         * Returns a rule by which the replicas on the initial voters vote.
         *
         * @return the rule, never null
         */
        public static VoterPolicy ofInitialVoters() {
            return new VoterPolicy(0, true);
        }

        /**
         * Returns a rule by which the leader selects the voters among the members that have caught up, and replaces
         * silent voters.
         *
         * @param target the number of voters, odd
         * @param mayForm whether this host may form a group
         * @return the rule, never null
         */
        public static VoterPolicy automatic(int target, boolean mayForm) {
            return new VoterPolicy(target, mayForm);
        }

        boolean automatic() {
            return targetVoters > 0;
        }
    }
}
