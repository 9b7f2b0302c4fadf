package dev.waxwinghead.testkit.worker;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Simulates an attempt of a batch task, whose only work is to let time pass.
 *
 * <p>The name of a checkpoint is {@code c-} followed by the milliseconds of run time completed, so that a resumed task
 * runs only for the rest.
 */
final class BatchTask implements WorkerTask {
    private static final long STEP_MILLIS = 20;
    private static final long DEFAULT_RUN_MILLIS = 1_000;
    private static final String CHECKPOINT_PREFIX = "c-";

    private final TaskContext context;
    private final TaskCommand start;
    private final BatchPlan plan;
    private final UsageMeter meter;
    private ScheduledFuture<?> steps;
    private TaskPhase phase = TaskPhase.RUNNING;
    private String exitMessage;
    private String checkpoint;
    private double doneMillis;
    private long lastStepNanos;
    private double speed = 1;
    private long stopDueNanos;
    private boolean stopping;

    private BatchTask(TaskContext context, TaskCommand start) {
        this.context = context;
        this.start = start;
        this.plan = BatchPlan.from(start, context);
        this.meter = UsageMeter.create(context.ticker(), context.usageLag());
        this.checkpoint = start.checkpoint();
        this.doneMillis = doneMillisOf(start.checkpoint());
        this.lastStepNanos = context.ticker().nanos();
    }

    static BatchTask start(TaskContext context, TaskCommand start) {
        BatchTask task = new BatchTask(context, start);
        context.recordEvent("start", start, start.checkpoint());
        task.schedule();
        return task;
    }

    private synchronized void schedule() {
        steps = context.timer().scheduleAtFixedRate(this::step, 0, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static double doneMillisOf(String checkpoint) {
        if (checkpoint == null || !checkpoint.startsWith(CHECKPOINT_PREFIX)) {
            return 0;
        }
        return Long.parseLong(checkpoint.substring(CHECKPOINT_PREFIX.length()));
    }

    private synchronized void step() {
        if (phase.ended()) {
            return;
        }
        if (!context.lease().held()) {
            end(TaskPhase.STOPPED, "the lease ran out");
            return;
        }
        advance();
        if (stopping) {
            stopIfDue();
        } else if (plan.failsAt(doneMillis)) {
            end(TaskPhase.FAILED, plan.failure());
        } else if (doneMillis >= plan.runMillis()) {
            end(TaskPhase.COMPLETED, null);
        } else if (plan.checkpointDue(doneMillisOf(checkpoint), doneMillis)) {
            saveCheckpoint();
        }
    }

    private void advance() {
        long now = context.ticker().nanos();
        doneMillis += (double) (now - lastStepNanos) * speed / 1e6;
        lastStepNanos = now;
        meter.measure((long) (plan.usedMillicores() * speed), plan.usedMemoryBytes(), () -> null);
    }

    private void stopIfDue() {
        if (context.ticker().nanos() - stopDueNanos < 0) {
            return;
        }
        end(TaskPhase.STOPPED, "told to end");
    }

    private void saveCheckpoint() {
        checkpoint = CHECKPOINT_PREFIX + (long) Math.min(doneMillis, (double) plan.runMillis());
        context.recordEvent("checkpoint", start, checkpoint);
    }

    private void end(TaskPhase endPhase, String message) {
        phase = endPhase;
        exitMessage = message;
        context.recordEvent(endPhase.text(), start, checkpoint);
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
        return new TaskReport(start.task(), start.attempt(), phase, meter.usage(), checkpoint, exitMessage);
    }

    @Override
    public synchronized void stop(long graceMillis) {
        if (phase.ended() || stopping) {
            return;
        }
        stopping = true;
        stopDueNanos = context.ticker().nanos() + Math.min(graceMillis, plan.stopMillis()) * 1_000_000L;
    }

    @Override
    public synchronized void checkpoint() {
        if (!phase.ended() && context.lease().held()) {
            advance();
            saveCheckpoint();
            phase = TaskPhase.CHECKPOINTED;
        }
    }

    @Override
    public synchronized void shutDown() {
        if (!phase.ended() && context.lease().held()) {
            advance();
            saveCheckpoint();
        }
        if (!phase.ended()) {
            end(TaskPhase.STOPPED, "the worker ends");
        }
    }

    @Override
    public synchronized void throttle(long millicores) {
        long declared = start.resources().millicores();
        speed = declared <= 0 ? 1 : Math.min(1.0, (double) millicores / declared);
    }

    @Override
    public synchronized void expireLease() {
        if (!phase.ended()) {
            end(TaskPhase.STOPPED, "the lease ran out");
        }
    }

    @Override
    public void leave() {
        // A batch task continues until the scheduler stops it or the drain timeout of the worker has passed.
    }

    @Override
    public synchronized boolean busy() {
        return !phase.ended();
    }

    @Override
    public synchronized long noiseMicros() {
        return phase.ended() ? 0 : (long) (plan.noiseMicros() * speed);
    }

    /** Represents the behaviour that the settings of a batch task configure. */
    private record BatchPlan(
            long runMillis,
            long checkpointMillis,
            long failAtMillis,
            long stopMillis,
            long usedMillicores,
            long usedMemoryBytes,
            long noiseMicros,
            String failure) {
        private static final long NEVER = Long.MAX_VALUE;

        static BatchPlan from(TaskCommand start, TaskContext context) {
            TaskSettings settings = TaskSettings.of(start.settings());
            String fail = settings.text(TaskSettings.FAIL, "");
            boolean failsBySettings = fail.equals("always") || (fail.equals("once") && start.attempt() == 1);
            boolean fails = failsBySettings || context.failsAll();
            return new BatchPlan(
                    settings.number(TaskSettings.RUN_MILLIS, DEFAULT_RUN_MILLIS),
                    settings.number(TaskSettings.CHECKPOINT_MILLIS, 0),
                    fails ? 0 : settings.number(TaskSettings.EXIT_AFTER, NEVER),
                    settings.number(TaskSettings.STOP_MILLIS, 0),
                    settings.number(
                            TaskSettings.USED_MILLICORES, start.resources().millicores()),
                    settings.number(
                            TaskSettings.USED_MEMORY_BYTES, start.resources().memoryBytes()),
                    settings.number(TaskSettings.NOISE_MICROS, 0),
                    context.failsAll() ? "this worker fails everything" : "the settings ask for a failure");
        }

        boolean failsAt(double doneMillis) {
            return failAtMillis != NEVER && doneMillis >= failAtMillis;
        }

        boolean checkpointDue(double savedMillis, double doneMillis) {
            return checkpointMillis > 0 && doneMillis - savedMillis >= checkpointMillis;
        }
    }
}
