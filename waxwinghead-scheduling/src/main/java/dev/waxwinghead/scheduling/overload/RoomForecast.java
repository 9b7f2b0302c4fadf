package dev.waxwinghead.scheduling.overload;

import java.util.concurrent.TimeUnit;

/**
 * Forecasts the processor time that the workers of a service give to finite jobs over the next seconds, including the
 * time that their current runs use.
 *
 * @param millicores the processor time per time, in millicores
 * @since 0.4
 */
public record RoomForecast(long millicores) {
    /** No processor time. */
    public static final RoomForecast NONE = new RoomForecast(0);

    /** Replaces negative capacity, such as that of workers whose lasting tasks exceed it, by 0. */
    public RoomForecast {
        millicores = Math.max(0, millicores);
    }

    /**
     * Returns the work that the workers can do within a time.
     *
     * @param millis the time from now, in milliseconds
     * @return the work in core-milliseconds, 0 for times in the past
     */
    public double coreMillis(long millis) {
        return (double) millicores * Math.max(0, millis) / TimeUnit.SECONDS.toMillis(1);
    }
}
