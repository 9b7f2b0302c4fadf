package dev.waxwinghead.coordination.consensus;

import java.time.Duration;

/**
 * Holds the timing and the limits of the consensus algorithm.
 *
 * @param heartbeatInterval the interval at which a leader contacts every member
 * @param electionTimeoutMin the shortest silence of the leader after which a voter requests votes, and the longest time
 *     that a leader stays leader without contact with a majority
 * @param electionTimeoutMax the longest silence of the leader after which a voter requests votes
 * @param batchBytes the maximum size of the entries in a message, in bytes; a larger entry is sent on its own
 * @param inflightMessages the maximum number of unacknowledged messages with entries per member
 * @param chunkBytes the maximum size of the snapshot chunk in a message, in bytes
 * @param trailingEntries the number of entries before the newest snapshot that stay in memory for lagging members
 * @param promotionLag the maximum number of committed entries that a learner may lack when it becomes a voter
 * @since 0.1
 */
public record ConsensusSettings(
        Duration heartbeatInterval,
        Duration electionTimeoutMin,
        Duration electionTimeoutMax,
        int batchBytes,
        int inflightMessages,
        int chunkBytes,
        int trailingEntries,
        int promotionLag) {
    private static final int DEFAULT_BATCH_BYTES = 256 * 1024;

    /** Checks that each timeout is shorter than the next longer one. */
    public ConsensusSettings {
        if (heartbeatInterval.compareTo(electionTimeoutMin) >= 0) {
            throw new IllegalArgumentException("heartbeatInterval must be shorter than electionTimeoutMin");
        }
        if (electionTimeoutMin.compareTo(electionTimeoutMax) >= 0) {
            throw new IllegalArgumentException("electionTimeoutMin must be shorter than electionTimeoutMax");
        }
    }

    /**
     * Returns the default settings, for data centres a few milliseconds apart.
     *
     * @return the settings, never null
     */
    public static ConsensusSettings defaults() {
        return new ConsensusSettings(
                Duration.ofMillis(200),
                Duration.ofMillis(800),
                Duration.ofMillis(1600),
                DEFAULT_BATCH_BYTES,
                16,
                DEFAULT_BATCH_BYTES,
                1024,
                128);
    }
}
