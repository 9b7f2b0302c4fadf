package dev.waxwinghead.coordination.replica;

import dev.waxwinghead.coordination.consensus.ConsensusSettings;
import dev.waxwinghead.model.id.HostId;
import java.time.Duration;
import java.util.List;

/**
 * Holds the settings of a replica.
 *
 * @param host the entry host it lives on
 * @param address the address of the host's peer port, as {@code ip:port}
 * @param initialVoters the hosts that form the first group; the same list on every host. Each of them votes, a new
 *     replica of it once it has caught up; all others are learners
 * @param consensus the timing and bounds of the algorithm
 * @param snapshotInterval how many entries are applied between two snapshots
 * @param maxCommandBytes the largest command, in bytes; has to fit into a frame of the peer network
 * @param maxOpenRequests how many proposals, reads and removals may be open at a time
 * @param leaderPatience how long a request waits for a leader before it fails with kind {@code NO_MAJORITY}
 * @param joinInterval how often a replica that is not yet a member as it wants to be asks for it
 * @param voting who votes, and whether this host may form a group
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
        Duration leaderPatience,
        Duration joinInterval,
        Voting voting) {
    private static final long DEFAULT_SNAPSHOT_INTERVAL = 4096;
    private static final int DEFAULT_MAX_COMMAND_BYTES = 512 * 1024;
    private static final int DEFAULT_MAX_OPEN_REQUESTS = 10_000;

    /** Copies the list and checks that it is not empty. */
    public ReplicaSettings {
        initialVoters = List.copyOf(initialVoters);
        if (initialVoters.isEmpty()) {
            throw new IllegalArgumentException("initialVoters is empty");
        }
    }

    /**
     * Returns settings with the usual timing and bounds.
     *
     * @param host the entry host
     * @param address the address of its peer port, as {@code ip:port}
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
                Voting.ofInitialVoters());
    }

    /**
     * Returns these settings with another interval of snapshots.
     *
     * @param entries how many entries are applied between two snapshots
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
                leaderPatience,
                joinInterval,
                voting);
    }

    /**
     * Returns these settings with other timing and bounds of the algorithm.
     *
     * @param settings the settings of the algorithm
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
                leaderPatience,
                joinInterval,
                voting);
    }

    /**
     * Returns these settings with another rule for who votes.
     *
     * @param rule the rule
     * @return the settings, never null
     */
    public ReplicaSettings withVoting(Voting rule) {
        return new ReplicaSettings(
                host,
                address,
                initialVoters,
                consensus,
                snapshotInterval,
                maxCommandBytes,
                maxOpenRequests,
                leaderPatience,
                joinInterval,
                rule);
    }

    /**
     * Returns these settings with another bound of a command.
     *
     * @param bytes the largest command, in bytes
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
                leaderPatience,
                joinInterval,
                voting);
    }

    boolean asksForVote() {
        return !voting.automatic() && initialVoters.contains(host);
    }

    /**
     * Tells who votes, and whether this host may form a group.
     *
     * @param target how many members vote; 0 if the initial voters do, each a new replica of it once it has caught up
     * @param mayForm whether this host may take part in forming a group that does not exist yet
     */
    public record Voting(int target, boolean mayForm) {
        /** Checks that the target is odd. */
        public Voting {
            if (target < 0 || (target > 0 && target % 2 == 0)) {
                throw new IllegalArgumentException("target is " + target + ", not odd");
            }
        }

        /**
         * Lets the initial voters vote.
         *
         * @return the rule, never null
         */
        public static Voting ofInitialVoters() {
            return new Voting(0, true);
        }

        /**
         * Lets the leader choose the voters among the members that have caught up, and replace those that fall silent.
         *
         * @param target how many members vote, odd
         * @param mayForm whether this host may take part in forming a group
         * @return the rule, never null
         */
        public static Voting automatic(int target, boolean mayForm) {
            return new Voting(target, mayForm);
        }

        boolean automatic() {
            return target > 0;
        }
    }
}
