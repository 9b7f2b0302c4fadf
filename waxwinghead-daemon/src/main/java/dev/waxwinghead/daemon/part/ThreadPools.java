package dev.waxwinghead.daemon.part;

import dev.waxwinghead.model.lifecycle.Closer;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates named thread pools. */
public final class ThreadPools {
    /** The maximum number of queued actions; further ones are rejected. A queued request takes some kilobytes. */
    private static final int QUEUE_LENGTH = 10_000;

    private static final long IDLE_SECONDS = 60;

    private ThreadPools() {}

    /**
     * Creates a pool that is bounded in threads and queued actions and whose threads end when they are idle.
     *
     * @param name the prefix of the thread names
     * @param threads the maximum number of threads
     * @param closer shuts the pool down
     * @return the pool, never null
     */
    public static ExecutorService bounded(String name, int threads, Closer closer) {
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                threads,
                threads,
                IDLE_SECONDS,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(QUEUE_LENGTH),
                threadFactory(name));
        pool.allowCoreThreadTimeOut(true);
        closer.register(pool::shutdownNow);
        return pool;
    }

    /**
     * Creates an executor for short periodic work.
     *
     * @param name the prefix of the thread names
     * @param threads the number of threads
     * @param closer shuts the executor down
     * @return the executor, never null
     */
    public static ScheduledExecutorService timer(String name, int threads, Closer closer) {
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(threads, threadFactory(name));
        closer.register(timer::shutdownNow);
        return timer;
    }

    private static ThreadFactory threadFactory(String name) {
        AtomicInteger next = new AtomicInteger();
        return action -> {
            Thread thread = new Thread(action, name + "-" + next.getAndIncrement());
            thread.setDaemon(true);
            return thread;
        };
    }
}
