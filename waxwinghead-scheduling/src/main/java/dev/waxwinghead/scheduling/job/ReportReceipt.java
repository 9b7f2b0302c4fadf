package dev.waxwinghead.scheduling.job;

/**
 * Identifies an accepted report whose answer may be held back until there is something to instruct.
 *
 * @param incarnation the worker's incarnation
 * @param sequence the sequence number of the report
 * @param answerDueNanos the latest time to answer, in nanoseconds of the scheduler's monotonic clock
 * @since 0.3
 */
public record ReportReceipt(WorkerIncarnation incarnation, long sequence, long answerDueNanos) {
    /**
     * Returns whether the answer is due.
     *
     * @param now the current time, in nanoseconds of the scheduler's monotonic clock
     * @return true if the answer may not be held back any longer
     */
    public boolean due(long now) {
        return now - answerDueNanos >= 0;
    }
}
