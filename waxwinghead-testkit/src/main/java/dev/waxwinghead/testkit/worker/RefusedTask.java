package dev.waxwinghead.testkit.worker;

/**
 * Represents an attempt that failed to start.
 *
 * @param start the command to start the task
 * @param message the reason for the failure
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
    public void expireLease() {}

    @Override
    public void shutDown() {}

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
