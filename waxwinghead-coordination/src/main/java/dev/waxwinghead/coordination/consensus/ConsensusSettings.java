package dev.waxwinghead.coordination.consensus;

import java.time.Duration;

/**
 * Holds the timing and the bounds of the algorithm.
 *
 * @param heartbeatInterval how often a leader contacts every member
 * @param electionTimeoutMin the shortest silence after which a voter asks for votes, and the longest that a leader goes
 *     on without a majority
 * @param electionTimeoutMax the longest silence after which a voter asks for votes
 * @param batchBytes how many bytes of entries one message carries at most; a larger entry travels alone
 * @param inflightMessages how many messages with entries may be on their way to one member
 * @param chunkBytes how many bytes of a snapshot one message carries at most
 * @param trailingEntries how many entries before the newest snapshot stay in memory for members that lag
 * @param promotionLag how many entries a learner may lag when it becomes a voter
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

    /** Checks that the timeouts fit together. */
    public ConsensusSettings {
        if (heartbeatInterval.compareTo(electionTimeoutMin) >= 0) {
            throw new IllegalArgumentException("heartbeatInterval is not below electionTimeoutMin");
        }
        if (electionTimeoutMin.compareTo(electionTimeoutMax) >= 0) {
            throw new IllegalArgumentException("electionTimeoutMin is not below electionTimeoutMax");
        }
    }

    /**
     * Returns the settings for data centres a few milliseconds apart.
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
