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
 * Decides when a late idempotent request is sent to a second upstream.
 *
 * <p>Only classes that say so are hedged, once per request, under the same budget as resends.
 *
 * @see <a href="https://doi.org/10.1145/2408776.2408794">Dean, Barroso: The Tail at Scale</a>
 */
final class Hedging {
    private static final long LEAST_DELAY_NANOS = 5_000_000;
    private static final int USUAL_LATENCIES = 3;

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
     * Runs the second attempt once the first is late, if the request may be hedged at all.
     *
     * @return what runs it later, empty if the request is not hedged
     */
    Optional<ScheduledFuture<?>> whenLate(Call call, Duration usual, Runnable secondAttempt) {
        CallRequest request = call.request();
        if (request.kind() != CallKind.IDEMPOTENT || call.attempts() != 1 || !limits.hedges(request.trafficClass())) {
            return Optional.empty();
        }
        long delay = Math.max(LEAST_DELAY_NANOS, USUAL_LATENCIES * usual.toNanos());
        return Optional.of(timer.schedule(() -> executor.execute(secondAttempt), delay, TimeUnit.NANOSECONDS));
    }

    /** Spends one attempt of the budget. */
    boolean trySpend() {
        return budget.trySpend();
    }
}
