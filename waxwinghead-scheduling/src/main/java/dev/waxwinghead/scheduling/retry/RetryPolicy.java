package dev.waxwinghead.scheduling.retry;

import java.time.Duration;

/**
 * Decides whether a request is sent to another upstream after an attempt.
 *
 * @since 0.1
 */
public final class RetryPolicy {
    /** The most attempts of one request. */
    public static final int MAX_ATTEMPTS = 3;

    private static final int USUAL_LATENCIES = 3;
    private static final Duration LEAST_ATTEMPT_TIME = Duration.ofMillis(20);

    private final RetryBudget budget;

    private RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns a policy that spends from a budget.
     *
     * @param budget the budget
     * @return the policy, never null
     */
    public static RetryPolicy create(RetryBudget budget) {
        return new RetryPolicy(budget);
    }

    /**
     * Decides whether to send a request once more, and spends the budget if so.
     *
     * @param idempotent whether the request may run more than once
     * @param end how the newest attempt ended
     * @param attempts how many attempts were made
     * @param remaining the time until the request's deadline
     * @return true if it is to be sent again; then the budget is spent
     */
    public boolean resend(boolean idempotent, AttemptEnd end, int attempts, Duration remaining) {
        if (end == AttemptEnd.ANSWERED || attempts >= MAX_ATTEMPTS) {
            return false;
        }
        if (end.mayHaveRun() && !idempotent) {
            return false;
        }
        return remaining.compareTo(LEAST_ATTEMPT_TIME) > 0 && budget.trySpend();
    }

    /**
     * Returns how long one attempt may take. An idempotent request keeps time for another attempt, unless that would
     * leave an attempt too little for an answer of the usual latency.
     *
     * @param idempotent whether the request may run more than once
     * @param attempts how many attempts were made before
     * @param remaining the time until the request's deadline
     * @param usual the usual latency of an answer
     * @return the time, at most the remaining time
     */
    public static Duration attemptTime(boolean idempotent, int attempts, Duration remaining, Duration usual) {
        Duration half = remaining.dividedBy(2);
        boolean enough = half.compareTo(usual.multipliedBy(USUAL_LATENCIES)) >= 0;
        return idempotent && enough && attempts < MAX_ATTEMPTS - 1 ? half : remaining;
    }

    /**
     * Tells whether an attempt that timed out speaks against the upstream.
     *
     * @param elapsed how long it was waited for
     * @param usual the usual latency of an answer
     * @return false if the answer may just have needed longer than the caller would wait
     */
    public static boolean blames(Duration elapsed, Duration usual) {
        return elapsed.compareTo(usual.multipliedBy(USUAL_LATENCIES)) >= 0;
    }
}
