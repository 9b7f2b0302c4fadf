package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.log.Event;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;

/** Logs and counts the calls of an entry host that could not be answered by the first attempt. */
final class GatewayEvents {
    private final MeterRegistry meters;
    private final Counter resolved;
    private final Counter unknown;

    GatewayEvents(MeterRegistry meters) {
        this.meters = meters;
        this.resolved = meters.counter("waxwinghead.job.gateway.resolved");
        this.unknown = meters.counter("waxwinghead.job.gateway.unknown");
        for (Refusal refusal : Refusal.values()) {
            refusals(refusal).increment(0);
        }
    }

    /** Enumerates why an entry host refuses a call that has not run. */
    enum Refusal {
        /** The limit of open calls is reached. */
        TOO_MANY_CALLS,
        /** The caller's time is shorter than a further answer takes. */
        TIME_OVER,
        /** This host stops before a further answer could arrive. */
        STOPPING,
        /** No host with a replica of the log is reachable. */
        NO_HOST,
        /** A majority of the disks refuses writes. */
        CANNOT_COMMIT
    }

    /** A call was answered although the outcome of an earlier attempt was not known. */
    void resolvedAfterUnknown(RoutedCall call, String outcome) {
        resolved.increment();
        Event.of("job-call-resolved")
                .with("path", call.path)
                .with("attempts", call.attempts)
                .with("outcome", outcome)
                .write();
    }

    /** The caller's time is over while an attempt may have taken effect. */
    void unknown(RoutedCall call) {
        unknown.increment();
        Event.of("job-call-unknown")
                .with("path", call.path)
                .with("attempts", call.attempts)
                .with("reason", call.reason)
                .write();
    }

    /** A call is refused that has not run. */
    void refused(RoutedCall call, Refusal refusal) {
        refusals(refusal).increment();
        Event.of("job-call-not-run")
                .with("path", call.path)
                .with("attempts", call.attempts)
                .with("refusal", refusal)
                .with("reason", call.reason)
                .write();
    }

    private Counter refusals(Refusal refusal) {
        return meters.counter(
                "waxwinghead.job.gateway.refused",
                "reason",
                refusal.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
}
