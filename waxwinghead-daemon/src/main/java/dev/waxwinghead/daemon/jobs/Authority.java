package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells whether this host may act as the scheduler of submitted jobs right now.
 *
 * <p>It may while it leads the log with a majority in reach. The monotonic clock does not count the time in which a
 * machine is suspended, so a step between it and the wall clock withdraws the authority until a majority confirms it.
 */
final class Authority {
    /** A larger step between the clocks may be a suspension; far less than an election takes. */
    private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(1);

    private final SharedState sharedState;
    private final Ticker ticker;
    private final LongSupplier epochMillis;
    private long clockDistanceNanos;
    private boolean confirming;
    private boolean doubted;

    Authority(SharedState sharedState, Ticker ticker, LongSupplier epochMillis) {
        this.sharedState = sharedState;
        this.ticker = ticker;
        this.epochMillis = epochMillis;
        this.clockDistanceNanos = clockDistance();
    }

    /** Tells whether this host leads the log as far as a majority has confirmed. */
    synchronized boolean held() {
        long distance = clockDistance();
        if (Math.abs(distance - clockDistanceNanos) > MAX_STEP_NANOS) {
            Event.of("clock-step")
                    .with("stepMillis", TimeUnit.NANOSECONDS.toMillis(distance - clockDistanceNanos))
                    .write();
            doubted = true;
        }
        clockDistanceNanos = distance;
        if (doubted) {
            confirm();
            return false;
        }
        LogStatus status = sharedState.status();
        return status.role() == LogStatus.Role.LEADER && status.majorityInReach();
    }

    private void confirm() {
        if (confirming) {
            return;
        }
        confirming = true;
        CompletableFuture<Long> barrier = sharedState.readBarrier(Deadline.after(CONFIRMATION_TIMEOUT, ticker));
        CompletableFuture<Long> unused = barrier.whenComplete((index, failure) -> confirmed(failure == null));
    }

    private synchronized void confirmed(boolean success) {
        confirming = false;
        doubted = doubted && !success;
    }

    private long clockDistance() {
        return TimeUnit.MILLISECONDS.toNanos(epochMillis.getAsLong()) - ticker.nanos();
    }
}
