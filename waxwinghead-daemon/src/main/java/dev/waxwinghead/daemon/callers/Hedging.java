package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.scheduling.limits.RequestLimits;
import dev.waxwinghead.scheduling.retry.RetryBudget;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Schedules the second attempt of an idempotent request whose answer is late.
 *
 * <p>A request is hedged at most once, only if its traffic class enables hedging, and within the same budget as
 * resends.
 *
 * @see <a href="https://doi.org/10.1145/2408776.2408794">Dean, Barroso: The Tail at Scale</a>
 */
final class Hedging {
    private static final long MIN_DELAY_NANOS = 5_000_000;
    private static final int LATENCY_MULTIPLE = 3;

    private final RequestLimits limits;
    private final RetryBudget budget;
    private final ScheduledExecutorService timer;
    private final Executor executor;

    private Hedging(RequestLimits limits, RetryBudget budget, ScheduledExecutorService timer, Executor executor) {
        this.limits = limits;
        this.budget = budget;
        this.timer = timer;
        this.executor = executor;
    }

    static Hedging create(RequestLimits limits, RetryBudget budget, ScheduledExecutorService timer, Executor executor) {
        return new Hedging(limits, budget, timer, executor);
    }

    /**
     * Schedules the second attempt of a call for the time at which the first is late, if the request may be hedged.
     *
     * @param usual the usual latency of an answer
     * @return the scheduled attempt, empty if the request is not hedged
     */
    Optional<ScheduledFuture<?>> schedule(Call call, Duration usual, Runnable secondAttempt) {
        CallRequest request = call.request();
        if (request.kind() != CallKind.IDEMPOTENT
                || call.attemptCount() != 1
                || !limits.hedges(request.trafficClass())) {
            return Optional.empty();
        }
        long delay = Math.max(MIN_DELAY_NANOS, LATENCY_MULTIPLE * usual.toNanos());
        return Optional.of(timer.schedule(() -> executor.execute(secondAttempt), delay, TimeUnit.NANOSECONDS));
    }

    /** Takes one attempt from the budget; returns false if the budget is used up. */
    boolean trySpend() {
        return budget.trySpend();
    }
}
