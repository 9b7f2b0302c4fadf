package dev.waxwinghead.scheduling.overload;

import java.util.Arrays;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Measures the work that was completed lately while more of it was waiting for capacity.
 *
 * <p>Needed where the free processor time is not what limits the work, such as best-effort tasks that wait since the
 * serving tasks tolerate no more of them. While no work waits, the rate shows the demand and not the capacity, so it is
 * not measured then.
 *
 * @since 0.4
 */
public final class AchievedRate {
    /** Bounds the measured time to 5 s, since the load of serving tasks may change within 20 s. */
    private static final int SLOTS = 20;

    private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The shortest time to measure, since a rate over a time shorter than a few tasks depends on chance. */
    private static final long MIN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final long[] coreMillisBySlot = new long[SLOTS];
    private long latestSlot;
    private boolean saturated;
    private long saturatedSinceNanos;

    private AchievedRate() {}

    /**
     * Returns a measurement without any completed work.
     *
     * @return the measurement, never null
     */
    public static AchievedRate create() {
        return new AchievedRate();
    }

    /**
     * Records completed work.
     *
     * @param coreMillis the work in core-milliseconds
     * @param now the current time, in nanoseconds of a monotonic clock
     */
    public void completed(long coreMillis, long now) {
        advance(now);
        coreMillisBySlot[Math.floorMod(latestSlot, SLOTS)] += coreMillis;
    }

    /**
     * Records whether work waits for capacity.
     *
     * @param waits whether work waits
     * @param now the current time, in nanoseconds of a monotonic clock
     */
    public void waiting(boolean waits, long now) {
        if (waits && !saturated) {
            Arrays.fill(coreMillisBySlot, 0);
            latestSlot = Math.floorDiv(now, SLOT_NANOS);
            saturatedSinceNanos = now;
        }
        saturated = waits;
    }

    /**
     * Returns the rate of completed work over the last seconds.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     * @return the rate in millicores; empty if work has not been waiting for long enough
     */
    public OptionalLong millicores(long now) {
        if (!saturated || now - saturatedSinceNanos < MIN_NANOS) {
            return OptionalLong.empty();
        }
        advance(now);
        long coreMillis = Arrays.stream(coreMillisBySlot).sum();
        long startNanos = Math.max(saturatedSinceNanos, (latestSlot - SLOTS + 1) * SLOT_NANOS);
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(now - startNanos));
        return OptionalLong.of(coreMillis * TimeUnit.SECONDS.toMillis(1) / millis);
    }

    private void advance(long now) {
        long slot = Math.floorDiv(now, SLOT_NANOS);
        for (long next = Math.max(latestSlot + 1, slot - SLOTS + 1); next <= slot; next++) {
            coreMillisBySlot[Math.floorMod(next, SLOTS)] = 0;
        }
        latestSlot = Math.max(latestSlot, slot);
    }
}
