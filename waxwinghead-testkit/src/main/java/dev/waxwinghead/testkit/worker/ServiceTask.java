package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import dev.waxwinghead.testkit.upstream.Upstream;
import dev.waxwinghead.testkit.upstream.UpstreamOptions;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs a task of a service: one upstream that announces itself until the task ends. */
final class ServiceTask implements WorkerTask {
    private static final long STEP_MILLIS = 50;
    private static final long ANNOUNCE_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SETTLE_NANOS = Duration.ofMillis(1_500).toNanos();
    private static final Duration ANNOUNCE_TIMEOUT = Duration.ofMillis(900);

    private final TaskContext context;
    private final TaskCommand start;
    private final Upstream upstream;
    private final UsageMeter meter;
    private final TaskSettings settings;
    private ScheduledFuture<?> steps;
    private TaskPhase phase = TaskPhase.RUNNING;
    private String exitMessage;
    private long announceNanos;
    private long leaveNanos;
    private boolean leaving;
    private long stopNanos;
    private boolean stopping;

    private ServiceTask(TaskContext context, TaskCommand start) {
        this.context = context;
        this.start = start;
        this.settings = TaskSettings.of(start.settings());
        this.meter = UsageMeter.create(context.ticker(), context.usageLag());
        this.announceNanos = context.ticker().nanos();
        this.upstream = Upstream.open(UpstreamOptions.of(
                start.task() + ":" + start.attempt(),
                start.service().slots(),
                start.service().connections(),
                () -> context.lease().held(),
                context.noiseMicros(),
                (event, detail) -> context.write(event, start, detail)));
    }

    static ServiceTask start(TaskContext context, TaskCommand start) {
        ServiceTask task = new ServiceTask(context, start);
        context.write("start", start, task.upstream.address());
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
        if (stopping && (now - stopNanos >= 0 || settled(now))) {
            end("told to end");
            return;
        }
        if (now - announceNanos >= 0) {
            announceNanos = now + ANNOUNCE_NANOS;
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
        long tailMicros = upstream.takeTailMicros();
        long targetMillis = settings.number(TaskSettings.LATENCY_TARGET_MILLIS, 0);
        return tailMicros == 0 || targetMillis <= 0 ? null : tailMicros / 1_000.0 / targetMillis;
    }

    private boolean settled(long now) {
        return upstream.inFlight() == 0 && now - leaveNanos >= SETTLE_NANOS;
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

    private void send(Announcement announcement, boolean again) {
        context.client()
                .post("/upstream/v1/announce", announcement, AnnounceAnswer.class, ANNOUNCE_TIMEOUT)
                .whenComplete((answer, failure) -> {
                    if (failure != null && again) {
                        send(announcement, false);
                    }
                })
                .exceptionally(failure -> null);
    }

    private void end(String message) {
        phase = TaskPhase.STOPPED;
        exitMessage = message;
        upstream.close();
        context.write(phase.text(), start, message);
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
        stopNanos = context.ticker().nanos() + graceMillis * 1_000_000L;
        leave();
    }

    @Override
    public void checkpoint() {
        // An upstream has no work to save.
    }

    @Override
    public synchronized void end() {
        if (!phase.ended()) {
            end("the worker ends");
        }
    }

    @Override
    public void throttle(long millicores) {
        // An upstream is never throttled: its callers would wait.
    }

    @Override
    public synchronized void lapse() {
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
        announceNanos = leaveNanos;
        upstream.leave();
        context.write("leaving", start, null);
    }

    @Override
    public synchronized boolean busy() {
        return !phase.ended() && !settled(context.ticker().nanos());
    }

    @Override
    public long noiseMicros() {
        return 0;
    }

    /** Holds the body of an announcement. */
    private record Announcement(
            String upstream,
            String service,
            String address,
            String dataCentre,
            String worker,
            int slots,
            int connections,
            String state) {}

    /** Holds the answer to an announcement. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record AnnounceAnswer(long leaseMillis) {}
}
