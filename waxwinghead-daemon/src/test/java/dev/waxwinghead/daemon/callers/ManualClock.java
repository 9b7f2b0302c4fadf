package dev.waxwinghead.daemon.callers;

import dev.waxwinghead.model.time.Ticker;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A clock that stands still until a test moves it, with a timer that runs its tasks while the clock is moved. */
public final class ManualClock implements Ticker {
    private static final Comparator<Task<?>> ORDER =
            Comparator.<Task<?>>comparingLong(task -> task.dueNanos).thenComparingLong(task -> task.number);

    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>(ORDER);
    private final Timer timer = new Timer();
    private long now;
    private long numbers;

    @Override
    public synchronized long nanos() {
        return now;
    }

    /** Returns a timer that runs its tasks on the thread that moves the clock. */
    public ScheduledExecutorService timer() {
        return timer;
    }

    /** Moves the clock and runs the tasks that become due, each at its due time. */
    public void advance(long nanos) {
        long end = nanos() + nanos;
        for (Task<?> task = pollDue(end); task != null; task = pollDue(end)) {
            task.run();
        }
        synchronized (this) {
            now = end;
            notifyAll();
        }
    }

    /** Blocks until the clock shows the given time. */
    public synchronized void await(long untilNanos) throws InterruptedException {
        while (now - untilNanos < 0) {
            wait();
        }
    }

    private synchronized Task<?> pollDue(long end) {
        Task<?> next = tasks.peek();
        if (next == null || next.dueNanos - end > 0) {
            return null;
        }
        now = Math.max(now, next.dueNanos);
        notifyAll();
        return tasks.poll();
    }

    private synchronized <V> Task<V> add(Callable<V> action, long delayNanos, long intervalNanos) {
        Task<V> task = new Task<>(action, now + Math.max(0, delayNanos), intervalNanos, numbers++);
        tasks.add(task);
        return task;
    }

    private synchronized void repeat(Task<?> task) {
        task.dueNanos = now + task.intervalNanos;
        tasks.add(task);
    }

    private synchronized void remove(Task<?> task) {
        tasks.remove(task);
    }

    private final class Task<V> extends FutureTask<V> implements RunnableScheduledFuture<V> {
        private final long intervalNanos;
        private final long number;
        private long dueNanos;

        Task(Callable<V> action, long dueNanos, long intervalNanos, long number) {
            super(action);
            this.dueNanos = dueNanos;
            this.intervalNanos = intervalNanos;
            this.number = number;
        }

        @Override
        public void run() {
            if (!isPeriodic()) {
                super.run();
            } else if (runAndReset()) {
                repeat(this);
            }
        }

        @Override
        protected void done() {
            remove(this);
        }

        @Override
        public boolean isPeriodic() {
            return intervalNanos > 0;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - nanos(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
        }
    }

    private final class Timer extends AbstractExecutorService implements ScheduledExecutorService {
        @Override
        public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
            return add(Executors.callable(action), unit.toNanos(delay), 0);
        }

        @Override
        public <V> ScheduledFuture<V> schedule(Callable<V> action, long delay, TimeUnit unit) {
            return add(action, unit.toNanos(delay), 0);
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(Runnable action, long delay, long period, TimeUnit unit) {
            return add(Executors.callable(action), unit.toNanos(delay), unit.toNanos(period));
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(Runnable action, long delay, long period, TimeUnit unit) {
            return add(Executors.callable(action), unit.toNanos(delay), unit.toNanos(period));
        }

        @Override
        public void execute(Runnable action) {
            ScheduledFuture<?> unused = schedule(action, 0, TimeUnit.NANOSECONDS);
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return true;
        }
    }
}
