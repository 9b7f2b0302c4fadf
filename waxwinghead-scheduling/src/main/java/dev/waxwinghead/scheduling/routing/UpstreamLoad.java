package dev.waxwinghead.scheduling.routing;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.UpstreamId;

/**
 * Tracks what one entry host knows about one upstream: its requests in flight, its recent latency and its failures.
 *
 * <p>Not safe for use by several threads; its owner guards it. All times are nanoseconds of one monotonic clock.
 *
 * @since 0.1
 */
public final class UpstreamLoad {
    private static final double MEAN_STEP = 0.1;

    private final UpstreamId upstream;
    private final DataCentreId dataCentre;
    private final LatencyEstimate latency = LatencyEstimate.create();
    private final OutlierState outlier = OutlierState.create();
    private int slots;
    private int inFlight;
    private double meanNanos;

    private UpstreamLoad(UpstreamId upstream, DataCentreId dataCentre, int slots) {
        this.upstream = upstream;
        this.dataCentre = dataCentre;
        this.slots = slots;
    }

    /**
     * Returns the load of an upstream that has had no request yet.
     *
     * @param upstream the upstream
     * @param dataCentre its data centre
     * @param slots how many requests this entry host may have in flight there
     * @return the load, never null
     */
    public static UpstreamLoad create(UpstreamId upstream, DataCentreId dataCentre, int slots) {
        return new UpstreamLoad(upstream, dataCentre, slots);
    }

    /**
     * Returns the upstream.
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
     * Sets how many requests this entry host may have in flight there. Those in flight are not affected.
     *
     * @param slots the number of slots, 0 or more
     */
    public void limitTo(int slots) {
        this.slots = slots;
    }

    /**
     * Returns how many more requests may start now.
     *
     * @return the free slots, 0 or more
     */
    public int free() {
        return Math.max(0, slots - inFlight);
    }

    /**
     * Returns the requests in flight.
     *
     * @return the number, 0 or more
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Tells whether a request may start: a slot is free and the upstream is not ejected, or its next probe is due.
     *
     * @param now the time
     * @return true if a request may start
     */
    public boolean admits(long now) {
        return free() > 0 && outlier.admits(now);
    }

    /**
     * Records the start of a request.
     *
     * @param now the time
     */
    public void started(long now) {
        inFlight++;
        outlier.started(now);
    }

    /**
     * Records the end of a request that the upstream answered.
     *
     * @param latencyNanos how long the answer took
     * @param now the time
     */
    public void answered(long latencyNanos, long now) {
        inFlight--;
        latency.record(latencyNanos, now);
        meanNanos = meanNanos == 0 ? latencyNanos : meanNanos + MEAN_STEP * (latencyNanos - meanNanos);
        outlier.succeeded();
    }

    /**
     * Records the end of a request that failed or timed out.
     *
     * @param elapsedNanos how long it was waited for
     * @param now the time
     */
    public void failed(long elapsedNanos, long now) {
        inFlight--;
        latency.record(elapsedNanos, now);
        outlier.failed(now);
    }

    /** Records the end of a request that says nothing about the upstream, such as one its caller gave up. */
    public void abandoned() {
        inFlight--;
        outlier.abandoned();
    }

    /**
     * Returns the expected cost of one more request: the recent latency times the requests that would share it.
     *
     * @param now the time
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
     * Tells whether the upstream is ejected.
     *
     * @param now the time
     * @return true while only probes may reach it
     */
    public boolean ejected(long now) {
        return outlier.ejected(now);
    }
}
