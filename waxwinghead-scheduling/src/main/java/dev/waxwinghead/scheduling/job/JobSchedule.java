package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;

/**
 * Describes how often and when the steps of a job run.
 *
 * @param occurrences the number of times that the steps run, from 1
 * @param startEpochMillis when the first occurrence is due, in wall-clock milliseconds; 0 for immediately
 * @param intervalMillis the time between two occurrences, in milliseconds
 * @since 0.2
 */
public record JobSchedule(int occurrences, long startEpochMillis, long intervalMillis) {
    /** The maximum number of occurrences of a job. */
    public static final int MAX_OCCURRENCES = 10_000;

    /** The latest start and the longest interval, in milliseconds: 30,000 years, so that due times do not overflow. */
    private static final long MAX_MILLIS = 1_000_000_000_000_000L;

    /** A schedule with a single occurrence that is due immediately. */
    public static final JobSchedule ONCE = new JobSchedule(1, 0, 0);

    /** Checks the bounds. */
    public JobSchedule {
        boolean bounded = occurrences >= 1 && occurrences <= MAX_OCCURRENCES;
        if (!bounded || outOfBounds(startEpochMillis) || outOfBounds(intervalMillis)) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "the schedule of " + occurrences + " occurrences is out of bounds",
                    "give 1 to " + MAX_OCCURRENCES + " occurrences and times of 0 to " + MAX_MILLIS + " ms");
        }
    }

    private static boolean outOfBounds(long millis) {
        return millis < 0 || millis > MAX_MILLIS;
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence the occurrence, from 0
     * @return the time in wall-clock milliseconds, 0 for immediately
     */
    public long dueEpochMillis(int occurrence) {
        return startEpochMillis + occurrence * intervalMillis;
    }
}
