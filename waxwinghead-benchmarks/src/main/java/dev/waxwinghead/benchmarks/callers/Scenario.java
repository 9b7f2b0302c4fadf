package dev.waxwinghead.benchmarks.callers;

/**
 * Describes a fleet and its load.
 *
 * @param name the name in the report
 * @param upstreams the upstreams, spread evenly over the data centres
 * @param dataCentres the data centres
 * @param hosts the entry hosts, spread evenly over the data centres
 * @param slots the slots of an upstream
 * @param load the offered load as a share of all slots
 * @param firstDataCentreLoad the load of the first data centre as a share of its own slots
 * @param oneSlow whether the first upstream is ten times slower
 * @param requests how many requests are sent
 */
public record Scenario(
        String name,
        int upstreams,
        int dataCentres,
        int hosts,
        int slots,
        double load,
        double firstDataCentreLoad,
        boolean oneSlow,
        int requests) {
    /** The mean service time of a request, in nanoseconds. */
    static final double MEAN_SERVICE_NANOS = 20e6;

    /** One way between data centres, in nanoseconds. */
    static final long FAR_NANOS = 500_000;

    /** One way within a data centre, in nanoseconds. */
    static final long NEAR_NANOS = 50_000;

    int dataCentreOfUpstream(int upstream) {
        return upstream % dataCentres;
    }

    int dataCentreOfHost(int host) {
        return host % dataCentres;
    }

    long distance(int host, int upstream) {
        return between(dataCentreOfHost(host), dataCentreOfUpstream(upstream));
    }

    long between(int one, int other) {
        return one == other ? NEAR_NANOS : FAR_NANOS;
    }

    /** Returns the requests a second that a data centre's entry hosts get. */
    double arrivals(int dataCentre) {
        double perSlot = 1e9 / MEAN_SERVICE_NANOS;
        double slotsPerDataCentre = (double) upstreams * slots / dataCentres;
        if (dataCentre == 0) {
            return slotsPerDataCentre * perSlot * firstDataCentreLoad;
        }
        double others = load * dataCentres - firstDataCentreLoad;
        return slotsPerDataCentre * perSlot * others / (dataCentres - 1);
    }
}
