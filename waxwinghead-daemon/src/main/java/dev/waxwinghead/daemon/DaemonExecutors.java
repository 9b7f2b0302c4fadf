package dev.waxwinghead.daemon;

import dev.waxwinghead.model.lifecycle.Closer;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Holds the daemon's thread pools. All are bounded in threads and queue.
 *
 * @param timer for short periodic work
 * @param pool for work that may block
 * @param callers serves callers
 * @param workers serves workers and upstreams
 * @param operators serves operators
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
    private static final int QUEUE_LENGTH = 10_000;
    private static final long IDLE_SECONDS = 60;

    static DaemonExecutors create(int callerThreads, Closer closer) {
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS, named("timer"));
        closer.register(timer::shutdownNow);
        return new DaemonExecutors(
                timer,
                pool("pool", POOL_THREADS, closer),
                pool("callers", callerThreads, closer),
                pool("workers", WORKER_THREADS, closer),
                pool("operators", OPERATOR_THREADS, closer));
    }

    private static ExecutorService pool(String name, int threads, Closer closer) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                threads, threads, IDLE_SECONDS, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE_LENGTH), named(name));
        pool.allowCoreThreadTimeOut(true);
        closer.register(pool::shutdownNow);
        return pool;
    }

    private static ThreadFactory named(String name) {
        AtomicInteger next = new AtomicInteger();
        return action -> {
            Thread thread = new Thread(action, name + "-" + next.getAndIncrement());
            thread.setDaemon(true);
            return thread;
        };
    }
}
