package dev.waxwinghead.daemon;

import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.model.lifecycle.Closer;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Holds the thread pools of the daemon. All pools are bounded in threads and, except for the timer, in queued work.
 *
 * @param timer the executor for short periodic work
 * @param pool the executor for work that may block
 * @param callers the executor that serves callers
 * @param workers the executor that serves workers and upstreams
 * @param operators the executor that serves operators
 */
record DaemonExecutors(
        ScheduledExecutorService timer,
        ExecutorService pool,
        ExecutorService callers,
        ExecutorService workers,
        ExecutorService operators) {
    private static final int TIMER_THREADS = 2;
    private static final int POOL_THREADS = 8;
    private static final int WORKER_THREADS = 8;
    private static final int OPERATOR_THREADS = 4;

    static DaemonExecutors create(int callerThreads, Closer closer) {
        return new DaemonExecutors(
                ThreadPools.timer("timer", TIMER_THREADS, closer),
                ThreadPools.bounded("pool", POOL_THREADS, closer),
                ThreadPools.bounded("callers", callerThreads, closer),
                ThreadPools.bounded("workers", WORKER_THREADS, closer),
                ThreadPools.bounded("operators", OPERATOR_THREADS, closer));
    }
}
