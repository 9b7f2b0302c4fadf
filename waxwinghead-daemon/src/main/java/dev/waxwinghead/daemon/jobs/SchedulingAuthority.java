package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides whether this host may act as the scheduler of submitted jobs now.
 *
 * <p>A host has the authority while it leads the log with a majority in reach. The monotonic clock does not count the
 * time in which a machine is suspended, so a step between the monotonic and the wall clock withdraws the authority
 * until a majority has confirmed the leadership.
 */
final class SchedulingAuthority {
    /** The step between the clocks above which a suspension is assumed; far less than an election takes. */
    private static final long MAX_CLOCK_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(1);

    private final SharedState sharedState;
    private final Ticker ticker;
    private final LongSupplier epochMillis;
    private long clockOffsetNanos;
    private boolean confirming;
    private boolean unconfirmed;

    SchedulingAuthority(SharedState sharedState, Ticker ticker, LongSupplier epochMillis) {
        this.sharedState = sharedState;
        this.ticker = ticker;
        this.epochMillis = epochMillis;
        this.clockOffsetNanos = clockOffset();
    }

    /**
     * Returns the term of the log in which this host has the authority now, empty if it has none. After a step between
     * the clocks, requests the confirmation by a majority and returns an empty term until it has succeeded.
     */
    synchronized OptionalLong term() {
        long offset = clockOffset();
        if (Math.abs(offset - clockOffsetNanos) > MAX_CLOCK_STEP_NANOS) {
            Event.of("clock-step")
                    .with("stepMillis", TimeUnit.NANOSECONDS.toMillis(offset - clockOffsetNanos))
                    .write();
            unconfirmed = true;
        }
        clockOffsetNanos = offset;
        if (unconfirmed) {
            confirm();
            return OptionalLong.empty();
        }
        LogStatus status = sharedState.status();
        boolean leads = status.role() == LogStatus.Role.LEADER && status.majorityInReach();
        return leads ? OptionalLong.of(status.term()) : OptionalLong.empty();
    }

    private void confirm() {
        if (confirming) {
            return;
        }
        confirming = true;
        CompletableFuture<Long> barrier = sharedState.readBarrier(Deadline.after(CONFIRMATION_TIMEOUT, ticker));
        CompletableFuture<Long> unused =
                barrier.whenComplete((index, failure) -> completeConfirmation(failure == null));
    }

    private synchronized void completeConfirmation(boolean success) {
        confirming = false;
        unconfirmed = unconfirmed && !success;
    }

    private long clockOffset() {
        return TimeUnit.MILLISECONDS.toNanos(epochMillis.getAsLong()) - ticker.nanos();
    }
}
