package dev.waxwinghead.scheduling.routing;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.UpstreamId;

/**
 * Tracks the requests in flight, recent latency and failures of one upstream as seen by one entry host.
 *
 * <p>Not thread-safe; callers synchronize. All times are nanoseconds of one monotonic clock.
 *
 * @since 0.1
 */
public final class UpstreamLoad {
    private static final double MEAN_WEIGHT = 0.1;

    private final UpstreamId upstream;
    private final DataCentreId dataCentre;
    private final LatencyEstimate latency = LatencyEstimate.create();
    private final OutlierDetection outlier = OutlierDetection.create();
    private int slots;
    private int inFlight;
    private double meanNanos;

    private UpstreamLoad(UpstreamId upstream, DataCentreId dataCentre, int slots) {
        this.upstream = upstream;
        this.dataCentre = dataCentre;
        this.slots = slots;
    }

    /**
     * Returns the load of an upstream without any requests.
     *
     * @param upstream the upstream
     * @param dataCentre the upstream's data centre
     * @param slots the number of requests that this entry host may have in flight, 0 or more
     * @return the load, never null
     */
    public static UpstreamLoad create(UpstreamId upstream, DataCentreId dataCentre, int slots) {
        return new UpstreamLoad(upstream, dataCentre, slots);
    }

    /**
     * Returns the id of the upstream.
     *
     * @return the id, never null
     */
    public UpstreamId upstream() {
        return upstream;
    }

    /**
     * Returns the upstream's data centre.
     *
     * @return the id, never null
     */
    public DataCentreId dataCentre() {
        return dataCentre;
    }

    /**
     * Sets the number of requests that this entry host may have in flight. Running requests are not affected.
     *
     * @param slots the number of slots, 0 or more
     */
    public void limitTo(int slots) {
        this.slots = slots;
    }

    /**
     * Returns the number of requests that may start now.
     *
     * @return the number of free slots, 0 or more
     */
    public int freeSlots() {
        return Math.max(0, slots - inFlight);
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests, 0 or more
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns whether a request may start: a slot is free, and the upstream is not ejected or its next probe is due.
     *
     * @param now the current time
     * @return true if a request may start
     */
    public boolean admits(long now) {
        return freeSlots() > 0 && outlier.admits(now);
    }

    /**
     * Records the start of a request.
     *
     * @param now the current time
     */
    public void started(long now) {
        inFlight++;
        outlier.started(now);
    }

    /**
     * Records the end of a request that the upstream answered.
     *
     * @param latencyNanos the latency of the answer, in nanoseconds
     * @param now the current time
     */
    public void answered(long latencyNanos, long now) {
        inFlight--;
        latency.record(latencyNanos, now);
        meanNanos = meanNanos == 0 ? latencyNanos : meanNanos + MEAN_WEIGHT * (latencyNanos - meanNanos);
        outlier.succeeded();
    }

    /**
     * Records the end of a request that failed or timed out.
     *
     * @param elapsedNanos the time from the start of the request to its failure, in nanoseconds
     * @param now the current time
     */
    public void failed(long elapsedNanos, long now) {
        inFlight--;
        latency.record(elapsedNanos, now);
        outlier.failed(now);
    }

    /** Records the end of a request that says nothing about the upstream, such as a request abandoned by its caller. */
    public void abandoned() {
        inFlight--;
        outlier.abandoned();
    }

    /**
     * Returns the expected cost of another request: the estimated latency multiplied by the number of requests in
     * flight including the new one.
     *
     * @param now the current time
     * @return the cost, in nanoseconds; lower is better
     */
    public double cost(long now) {
        return latency.nanos(now) * (inFlight + 1);
    }

    /**
     * Returns the mean latency of the recent answers.
     *
     * @return the mean, in nanoseconds; 0 before the first answer
     */
    public double meanNanos() {
        return meanNanos;
    }

    /**
     * Returns whether the upstream is ejected.
     *
     * @param now the current time
     * @return true while only probes are admitted
     */
    public boolean ejected(long now) {
        return outlier.ejected(now);
    }
}
