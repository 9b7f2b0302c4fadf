package dev.waxwinghead.scheduling.job;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long the answer to a report is held back, and when the worker reports next.
 *
 * <p>A start reaches a worker only in an answer. With hundreds of workers each one reports about once a second, so
 * tasks shorter than that would wait longer than they run. Therefore the answer to a worker that has room for more
 * tasks is held back until a start is committed, and no more reports are needed than before. A worker reports an end
 * only while no answer is outstanding, so answers to workers with finite tasks are held back for a shorter time.
 */
record ReportTiming(long holdMillis, long nextReportMillis) {
    /** The target rate of reports of all workers together while none has anything new to report, per second. */
    private static final int REPORTS_PER_SECOND = 300;

    private static final long MIN_INTERVAL_MILLIS = 100;
    private static final long MAX_INTERVAL_MILLIS = 1000;

    /** Workers discard answers after one second; the rest covers transmission and a busy scheduler. */
    private static final long MAX_HOLD_MILLIS = 500;

    /** The longest delay of the report of an end. */
    private static final long MAX_BUSY_HOLD_MILLIS = 150;

    /** The shortest time between an answer and the next report. */
    private static final long MIN_PAUSE_MILLIS = 20;

    /**
     * Returns the timing for one report.
     *
     * @param workers the number of workers
     * @param hasRoom whether the worker could run another task
     * @param runsFiniteTasks whether the worker runs tasks that end by themselves
     */
    static ReportTiming of(int workers, boolean hasRoom, boolean runsFiniteTasks) {
        long interval =
                Math.max(MIN_INTERVAL_MILLIS, Math.min(MAX_INTERVAL_MILLIS, 1000L * workers / REPORTS_PER_SECOND));
        long longest = runsFiniteTasks ? MAX_BUSY_HOLD_MILLIS : MAX_HOLD_MILLIS;
        long hold = hasRoom ? Math.min(longest, interval - MIN_PAUSE_MILLIS) : 0;
        return new ReportTiming(hold, interval - hold);
    }

    long answerDueNanos(long now) {
        return now + TimeUnit.MILLISECONDS.toNanos(holdMillis);
    }
}
