package dev.waxwinghead.testkit.worker;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs a batch task whose only work is to let time pass.
 *
 * <p>A checkpoint is named {@code c-} and the milliseconds done, so that a resumed task does only what is left.
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
    private double rate = 1;
    private long stopNanos;
    private boolean stopping;

    private BatchTask(TaskContext context, TaskCommand start) {
        this.context = context;
        this.start = start;
        this.plan = BatchPlan.from(start, context);
        this.meter = UsageMeter.create(context.ticker(), context.usageLag());
        this.checkpoint = start.checkpoint();
        this.doneMillis = progressOf(start.checkpoint());
        this.lastStepNanos = context.ticker().nanos();
    }

    static BatchTask start(TaskContext context, TaskCommand start) {
        BatchTask task = new BatchTask(context, start);
        context.write("start", start, start.checkpoint());
        task.schedule();
        return task;
    }

    private synchronized void schedule() {
        steps = context.timer().scheduleAtFixedRate(this::step, 0, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static double progressOf(String checkpoint) {
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
            finishStop();
        } else if (plan.failsAt(doneMillis)) {
            end(TaskPhase.FAILED, plan.failure());
        } else if (doneMillis >= plan.runMillis()) {
            end(TaskPhase.COMPLETED, null);
        } else if (plan.checkpointDue(progressOf(checkpoint), doneMillis)) {
            save();
        }
    }

    private void advance() {
        long now = context.ticker().nanos();
        doneMillis += (double) (now - lastStepNanos) * rate / 1e6;
        lastStepNanos = now;
        meter.measure((long) (plan.usedMillicores() * rate), plan.usedMemoryBytes(), () -> null);
    }

    private void finishStop() {
        if (context.ticker().nanos() - stopNanos < 0) {
            return;
        }
        end(TaskPhase.STOPPED, "told to end");
    }

    private void save() {
        checkpoint = CHECKPOINT_PREFIX + (long) Math.min(doneMillis, (double) plan.runMillis());
        context.write("checkpoint", start, checkpoint);
    }

    private void end(TaskPhase ended, String message) {
        phase = ended;
        exitMessage = message;
        context.write(ended.text(), start, checkpoint);
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
        stopNanos = context.ticker().nanos() + Math.min(graceMillis, plan.stopMillis()) * 1_000_000L;
    }

    @Override
    public synchronized void checkpoint() {
        if (!phase.ended() && context.lease().held()) {
            advance();
            save();
            phase = TaskPhase.CHECKPOINTED;
        }
    }

    @Override
    public synchronized void end() {
        if (!phase.ended() && context.lease().held()) {
            advance();
            save();
        }
        if (!phase.ended()) {
            end(TaskPhase.STOPPED, "the worker ends");
        }
    }

    @Override
    public synchronized void throttle(long millicores) {
        long declared = start.resources().millicores();
        rate = declared <= 0 ? 1 : Math.min(1.0, (double) millicores / declared);
    }

    @Override
    public synchronized void lapse() {
        if (!phase.ended()) {
            end(TaskPhase.STOPPED, "the lease ran out");
        }
    }

    @Override
    public void leave() {
        // A batch task runs on until the scheduler stops it or the worker's drain time is over.
    }

    @Override
    public synchronized boolean busy() {
        return !phase.ended();
    }

    @Override
    public synchronized long noiseMicros() {
        return phase.ended() ? 0 : (long) (plan.noiseMicros() * rate);
    }

    /** Holds what the settings ask of a batch task. */
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
            boolean failsByJob = fail.equals("always") || (fail.equals("once") && start.attempt() == 1);
            boolean fails = failsByJob || context.failsAll();
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
