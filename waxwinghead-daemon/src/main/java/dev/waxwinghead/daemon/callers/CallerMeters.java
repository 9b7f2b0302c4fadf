package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.scheduling.limits.RequestLimits;
import dev.waxwinghead.scheduling.retry.AttemptEnd;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Counts outcomes and attempts, and records the latency of requests for each tenant and class. */
final class CallerMeters {
    private static final String UNDECLARED = "undeclared";

    private final MeterRegistry meters;
    private final RequestLimits limits;
    private final Map<String, Timer> tenants = new ConcurrentHashMap<>();
    private final Map<String, Timer> classes = new ConcurrentHashMap<>();
    private final Map<Outcome, Counter> outcomes = new ConcurrentHashMap<>();
    private final Map<AttemptEnd, Counter> attempts = new ConcurrentHashMap<>();
    private final Counter hedges;

    private CallerMeters(MeterRegistry meters, RequestLimits limits) {
        this.meters = meters;
        this.limits = limits;
        this.hedges = meters.counter("waxwinghead.upstream.hedges");
    }

    static CallerMeters create(MeterRegistry meters, RequestLimits limits) {
        return new CallerMeters(meters, limits);
    }

    void recordOutcome(CallRequest request, Outcome outcome, long elapsedNanos) {
        outcomes.computeIfAbsent(outcome, each -> meters.counter("waxwinghead.caller.requests", "outcome", each.text()))
                .increment();
        String tenant = limits.declares(request.tenant()) ? request.tenant().value() : UNDECLARED;
        String trafficClass =
                limits.declares(request.trafficClass()) ? request.trafficClass().value() : UNDECLARED;
        tenants.computeIfAbsent(tenant, name -> timer("waxwinghead.caller.tenant.latency", "tenant", name))
                .record(elapsedNanos, TimeUnit.NANOSECONDS);
        classes.computeIfAbsent(trafficClass, name -> timer("waxwinghead.caller.class.latency", "class", name))
                .record(elapsedNanos, TimeUnit.NANOSECONDS);
    }

    void countUnreadable() {
        outcomes.computeIfAbsent(
                        Outcome.NOT_RUN, each -> meters.counter("waxwinghead.caller.requests", "outcome", each.text()))
                .increment();
    }

    void countAttempt(AttemptEnd end) {
        attempts.computeIfAbsent(
                        end,
                        each -> meters.counter(
                                "waxwinghead.upstream.attempts",
                                "end",
                                each.name().toLowerCase(Locale.ROOT).replace('_', '-')))
                .increment();
    }

    void countHedge() {
        hedges.increment();
    }

    private Timer timer(String name, String tag, String value) {
        return Timer.builder(name).tag(tag, value).publishPercentileHistogram().register(meters);
    }
}
