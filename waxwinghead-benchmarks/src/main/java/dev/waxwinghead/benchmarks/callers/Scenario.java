package dev.waxwinghead.benchmarks.callers;

/**
 * Describes a fleet and its load.
 *
 * @param name the name printed with the results
 * @param upstreams the number of upstreams, spread evenly over the data centres
 * @param dataCentres the number of data centres
 * @param hosts the number of entry hosts, spread evenly over the data centres
 * @param slots the number of slots of each upstream
 * @param load the offered load as a share of the capacity of all slots
 * @param firstDataCentreLoad the load of the first data centre as a share of the capacity of its own slots
 * @param firstUpstreamSlow whether the first upstream is ten times slower
 * @param requests the number of requests to send
 */
public record Scenario(
        String name,
        int upstreams,
        int dataCentres,
        int hosts,
        int slots,
        double load,
        double firstDataCentreLoad,
        boolean firstUpstreamSlow,
        int requests) {
    /** The mean service time of a request, in nanoseconds. */
    static final double MEAN_SERVICE_NANOS = 20e6;

    /** The one-way network delay between data centres, in nanoseconds. */
    static final long REMOTE_DELAY_NANOS = 500_000;

    /** The one-way network delay within a data centre, in nanoseconds. */
    static final long LOCAL_DELAY_NANOS = 50_000;

    int dataCentreOfUpstream(int upstream) {
        return upstream % dataCentres;
    }

    int dataCentreOfHost(int host) {
        return host % dataCentres;
    }

    /** Returns the one-way network delay between a host and an upstream, in nanoseconds. */
    long delayToUpstream(int host, int upstream) {
        return oneWayDelay(dataCentreOfHost(host), dataCentreOfUpstream(upstream));
    }

    /** Returns the one-way network delay between two data centres, in nanoseconds. */
    long oneWayDelay(int one, int other) {
        return one == other ? LOCAL_DELAY_NANOS : REMOTE_DELAY_NANOS;
    }

    /** Returns the rate at which requests arrive at a data centre's entry hosts, in requests per second. */
    double arrivalsPerSecond(int dataCentre) {
        double perSlot = 1e9 / MEAN_SERVICE_NANOS;
        double slotsPerDataCentre = (double) upstreams * slots / dataCentres;
        if (dataCentre == 0) {
            return slotsPerDataCentre * perSlot * firstDataCentreLoad;
        }
        double remainingLoad = load * dataCentres - firstDataCentreLoad;
        return slotsPerDataCentre * perSlot * remainingLoad / (dataCentres - 1);
    }
}
