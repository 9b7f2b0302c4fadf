package dev.waxwinghead.scheduling.retry;

import java.time.Duration;

/**
 * Decides whether a request is resent to another upstream after an attempt, and how long an attempt may take.
 *
 * @since 0.1
 */
public final class RetryPolicy {
    /** The maximum number of attempts of one request. */
    public static final int MAX_ATTEMPTS = 3;

    private static final int MIN_LATENCY_MULTIPLE = 3;
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(20);

    private final RetryBudget budget;

    private RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns a policy that takes resends from a budget.
     *
     * @param budget the budget
     * @return the policy, never null
     */
    public static RetryPolicy create(RetryBudget budget) {
        return new RetryPolicy(budget);
    }

    /**
     * Returns whether a request is to be resent, and takes the resend from the budget if so.
     *
     * @param idempotent whether the request may run more than once
     * @param end how the latest attempt ended
     * @param attempts the number of attempts made so far
     * @param remaining the time until the request's deadline
     * @return true if the request is to be resent; a resend has then been taken from the budget
     */
    public boolean tryResend(boolean idempotent, AttemptEnd end, int attempts, Duration remaining) {
        if (end == AttemptEnd.ANSWERED || attempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (end.mayHaveRun() && !idempotent) {
            return false;
        }
        return remaining.compareTo(MIN_ATTEMPT_TIME) > 0 && budget.trySpend();
    }

    /**
     * Returns the timeout of one attempt. For an idempotent request, time is reserved for another attempt, unless the
     * attempt would then have too little time for an answer of typical latency.
     *
     * @param idempotent whether the request may run more than once
     * @param attempts the number of previous attempts
     * @param remaining the time until the request's deadline
     * @param typicalLatency the typical latency of an answer
     * @return the timeout, at most the remaining time
     */
    public static Duration attemptTimeout(
            boolean idempotent, int attempts, Duration remaining, Duration typicalLatency) {
        Duration half = remaining.dividedBy(2);
        boolean enough = half.compareTo(typicalLatency.multipliedBy(MIN_LATENCY_MULTIPLE)) >= 0;
        return idempotent && enough && attempts < MAX_ATTEMPTS - 1 ? half : remaining;
    }

    /**
     * Returns whether an attempt that timed out counts as a failure of the upstream.
     *
     * @param elapsed how long the answer was waited for
     * @param typicalLatency the typical latency of an answer
     * @return false if the caller's deadline may have been too short for an answer
     */
    public static boolean countsAsFailure(Duration elapsed, Duration typicalLatency) {
        return elapsed.compareTo(typicalLatency.multipliedBy(MIN_LATENCY_MULTIPLE)) >= 0;
    }
}
