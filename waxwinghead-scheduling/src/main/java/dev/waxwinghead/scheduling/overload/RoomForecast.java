package dev.waxwinghead.scheduling.overload;

import java.util.concurrent.TimeUnit;

/**
 * Forecasts the processor time that the workers of a service can give to further runs of finite jobs over the next
 * seconds.
 *
 * @param millicores the processor time for finite jobs per time, in millicores
 * @param usedCoreMillis the processor time that the current runs use until their estimated end, in core-milliseconds
 * @since 0.4
 */
public record RoomForecast(long millicores, long usedCoreMillis) {
    /** No processor time. */
    public static final RoomForecast NONE = new RoomForecast(0, 0);

    /** Replaces negative capacity, such as that of workers whose lasting tasks exceed it, by 0. */
    public RoomForecast {
        millicores = Math.max(0, millicores);
    }

    /**
     * Returns the work of further runs that the workers can do within a time.
     *
     * @param millis the time from now, in milliseconds
     * @return the work in core-milliseconds, 0 or less if the current runs need all of it
     */
    public double coreMillis(long millis) {
        return offeredCoreMillis(millis) - usedCoreMillis;
    }

    /** Returns the work that the workers can do within a time, including that of the current runs. */
    double offeredCoreMillis(long millis) {
        return (double) millicores * Math.max(0, millis) / TimeUnit.SECONDS.toMillis(1);
    }
}
