package dev.waxwinghead.testkit.worker;

/** Represents one attempt of a task. All methods are thread-safe and return quickly. */
interface WorkerTask {
    /** Returns the command that started this attempt. */
    TaskCommand start();

    /** Returns the report of this attempt for the next poll. */
    TaskReport report();

    /** Stops this attempt within the given time; its state becomes {@link TaskPhase#STOPPED}. */
    void stop(long graceMillis);

    /** Saves a checkpoint and continues; the state becomes {@link TaskPhase#CHECKPOINTED}. */
    void checkpoint();

    /** Limits the processor time of this attempt, in thousandths of a core. */
    void throttle(long millicores);

    /** Stops this attempt at once because the lease has expired. */
    void expireLease();

    /** Stops this attempt at once because the worker shuts down; a batch task saves a checkpoint first. */
    void shutDown();

    /** Prepares for the shutdown of the worker: accepts no new work and finishes the work in flight. */
    void leave();

    /** Returns whether work is in flight for which a leaving worker waits. */
    boolean busy();

    /** Returns the delay that this attempt adds to each request on its worker, in microseconds. */
    long noiseMicros();
}
