package dev.waxwinghead.scheduling.job;

/**
 * Describes since when no scheduler extends the lease of a worker.
 *
 * @param number the number of the silence, which no other silence in the table has
 * @param byTakeover whether it began with a take-over, so that an answer of the previous scheduler may still be on its
 *     way; otherwise with {@link JobTransition.Silent}
 * @since 0.3
 */
public record Silence(long number, boolean byTakeover) {}
