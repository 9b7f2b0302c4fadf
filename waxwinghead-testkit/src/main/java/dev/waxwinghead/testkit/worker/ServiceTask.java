package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import dev.waxwinghead.testkit.upstream.Upstream;
import dev.waxwinghead.testkit.upstream.UpstreamOptions;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Simulates an attempt of a service task: one upstream that announces itself to entry hosts until the attempt ends. */
final class ServiceTask implements WorkerTask {
    private static final long STEP_MILLIS = 50;
    private static final long ANNOUNCE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final long MIN_DRAIN_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(900);

    private final TaskContext context;
    private final TaskCommand start;
    private final Upstream upstream;
    private final UsageMeter meter;
    private final TaskSettings settings;
    private ScheduledFuture<?> steps;
    private TaskPhase phase = TaskPhase.RUNNING;
    private String exitMessage;
    private long nextAnnounceNanos;
    private long leaveNanos;
    private boolean leaving;
    private long stopDeadlineNanos;
    private boolean stopping;

    private ServiceTask(TaskContext context, TaskCommand start) {
        this.context = context;
        this.start = start;
        this.settings = TaskSettings.of(start.settings());
        this.meter = UsageMeter.create(context.ticker(), context.usageLag());
        this.nextAnnounceNanos = context.ticker().nanos();
        this.upstream = Upstream.open(UpstreamOptions.of(
                start.task() + ":" + start.attempt(),
                start.service().slots(),
                start.service().connections(),
                () -> context.lease().held(),
                context.noiseMicros(),
                (event, detail) -> context.recordEvent(event, start, detail)));
    }

    static ServiceTask start(TaskContext context, TaskCommand start) {
        ServiceTask task = new ServiceTask(context, start);
        context.recordEvent("start", start, task.upstream.address());
        task.schedule();
        return task;
    }

    private synchronized void schedule() {
        steps = context.timer().scheduleAtFixedRate(this::step, 0, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void step() {
        if (phase.ended()) {
            return;
        }
        if (!context.lease().held()) {
            end("the lease ran out");
            return;
        }
        long now = context.ticker().nanos();
        meter.measure(usedMillicores(), usedMemoryBytes(), this::latencyRatio);
        if (stopping && (now - stopDeadlineNanos >= 0 || isDrained(now))) {
            end("told to end");
            return;
        }
        if (now - nextAnnounceNanos >= 0) {
            nextAnnounceNanos = now + ANNOUNCE_INTERVAL_NANOS;
            announce();
        }
    }

    private long usedMillicores() {
        return settings.number(TaskSettings.USED_MILLICORES, start.resources().millicores());
    }

    private long usedMemoryBytes() {
        return settings.number(TaskSettings.USED_MEMORY_BYTES, start.resources().memoryBytes());
    }

    private Double latencyRatio() {
        long tailMicros = upstream.takeP99Micros();
        long targetMillis = settings.number(TaskSettings.LATENCY_TARGET_MILLIS, 0);
        return tailMicros == 0 || targetMillis <= 0 ? null : tailMicros / 1_000.0 / targetMillis;
    }

    private boolean isDrained(long now) {
        return upstream.inFlight() == 0 && now - leaveNanos >= MIN_DRAIN_NANOS;
    }

    private void announce() {
        Announcement announcement = new Announcement(
                upstream.id(),
                start.service().name().value(),
                upstream.address(),
                context.worker().dataCentre().value(),
                context.worker().id().value(),
                start.service().slots(),
                start.service().connections(),
                leaving ? "leaving" : "serving");
        send(announcement, true);
    }

    private void send(Announcement announcement, boolean retry) {
        context.client()
                .post("/upstream/v1/announce", announcement, AnnounceAnswer.class, ANNOUNCE_TIMEOUT)
                .whenComplete((answer, failure) -> {
                    if (failure != null && retry) {
                        send(announcement, false);
                    }
                })
                .exceptionally(failure -> null);
    }

    private void end(String message) {
        phase = TaskPhase.STOPPED;
        exitMessage = message;
        upstream.close();
        context.recordEvent(phase.text(), start, message);
        if (steps != null) {
            steps.cancel(false);
        }
    }

    @Override
    public TaskCommand start() {
        return start;
    }

    @Override
    public synchronized TaskReport report() {
        return new TaskReport(start.task(), start.attempt(), phase, meter.usage(), null, exitMessage);
    }

    @Override
    public synchronized void stop(long graceMillis) {
        if (phase.ended() || stopping) {
            return;
        }
        stopping = true;
        stopDeadlineNanos = context.ticker().nanos() + graceMillis * 1_000_000L;
        leave();
    }

    @Override
    public void checkpoint() {
        // An upstream has no state to save.
    }

    @Override
    public synchronized void shutDown() {
        if (!phase.ended()) {
            end("the worker ends");
        }
    }

    @Override
    public void throttle(long millicores) {
        // Upstreams are never throttled because that would delay callers.
    }

    @Override
    public synchronized void expireLease() {
        if (!phase.ended()) {
            end("the lease ran out");
        }
    }

    @Override
    public synchronized void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        leaveNanos = context.ticker().nanos();
        nextAnnounceNanos = leaveNanos;
        upstream.leave();
        context.recordEvent("leaving", start, null);
    }

    @Override
    public synchronized boolean busy() {
        return !phase.ended() && !isDrained(context.ticker().nanos());
    }

    @Override
    public long noiseMicros() {
        return 0;
    }

    /** Represents the request body of an announcement. */
    private record Announcement(
            String upstream,
            String service,
            String address,
            String dataCentre,
            String worker,
            int slots,
            int connections,
            String state) {}

    /** Represents the response to an announcement. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record AnnounceAnswer(long leaseMillis) {}
}
