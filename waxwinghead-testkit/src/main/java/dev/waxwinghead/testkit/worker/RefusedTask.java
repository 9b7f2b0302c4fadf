package dev.waxwinghead.testkit.worker;

/**
 * Reports a task that could not be started.
 *
 * @param start the command
 * @param message why
 */
record RefusedTask(TaskCommand start, String message) implements WorkerTask {
    @Override
    public TaskReport report() {
        return new TaskReport(start.task(), start.attempt(), TaskPhase.FAILED, null, start.checkpoint(), message);
    }

    @Override
    public void stop(long graceMillis) {}

    @Override
    public void checkpoint() {}

    @Override
    public void throttle(long millicores) {}

    @Override
    public void lapse() {}

    @Override
    public void end() {}

    @Override
    public void leave() {}

    @Override
    public boolean busy() {
        return false;
    }

    @Override
    public long noiseMicros() {
        return 0;
    }
}
