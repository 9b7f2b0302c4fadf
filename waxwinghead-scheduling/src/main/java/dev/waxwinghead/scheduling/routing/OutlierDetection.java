package dev.waxwinghead.scheduling.routing;

/**
 * Ejects an upstream after consecutive failures and admits single probes until a probe succeeds.
 *
 * <p>Each failed probe doubles the time until the next probe, up to a maximum.
 *
 * @since 0.1
 */
final class OutlierDetection {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = 500_000_000L;
    private static final long MAX_EJECTION_NANOS = 8_000_000_000L;
    private static final long PROBE_TIMEOUT_NANOS = 10_000_000_000L;

    private int failures;
    private boolean ejected;
    private boolean probing;
    private long probeAt;
    private long ejectionNanos = FIRST_EJECTION_NANOS;

    private OutlierDetection() {}

    static OutlierDetection create() {
        return new OutlierDetection();
    }

    boolean admits(long now) {
        return !ejected || now - probeAt >= 0;
    }

    boolean ejected(long now) {
        return ejected;
    }

    void started(long now) {
        if (ejected) {
            probing = true;
            probeAt = now + PROBE_TIMEOUT_NANOS;
        }
    }

    void succeeded() {
        failures = 0;
        ejected = false;
        probing = false;
        ejectionNanos = FIRST_EJECTION_NANOS;
    }

    void failed(long now) {
        failures++;
        if (probing) {
            ejectionNanos = Math.min(MAX_EJECTION_NANOS, ejectionNanos * 2);
        }
        if (failures >= FAILURES_TO_EJECT) {
            ejected = true;
            probing = false;
            probeAt = now + ejectionNanos;
        }
    }

    void abandoned() {
        probing = false;
    }
}
