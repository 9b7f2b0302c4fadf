package dev.waxwinghead.testkit.worker;

/** Runs one attempt of a task. Every method may be called from any thread and returns quickly. */
interface WorkerTask {
    /** Returns the command that started it. */
    TaskCommand start();

    /** Returns what the next poll says about it. */
    TaskReport report();

    /** Ends it within the given time; the state becomes {@link TaskPhase#STOPPED}. */
    void stop(long graceMillis);

    /** Saves a checkpoint and runs on; the state becomes {@link TaskPhase#CHECKPOINTED}. */
    void checkpoint();

    /** Bounds its processor time, in thousandths of a core. */
    void throttle(long millicores);

    /** Ends it at once because the lease has run out. */
    void lapse();

    /** Ends it at once because the worker ends; a batch task saves a checkpoint first. */
    void end();

    /** Prepares for the worker's end: takes nothing new and finishes what is in flight. */
    void leave();

    /** Tells whether work that a leaving worker waits for is in flight. */
    boolean busy();

    /** Returns the microseconds that it adds to each request on its worker. */
    long noiseMicros();
}
