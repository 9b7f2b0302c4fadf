package dev.waxwinghead.daemon.part;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Runs an action periodically until the task is closed. A failed run is logged and does not prevent later runs. */
public final class PeriodicTask implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeriodicTask.class);

    private final Future<?> schedule;

    private PeriodicTask(Future<?> schedule) {
        this.schedule = schedule;
    }

    /**
     * Starts running an action periodically.
     *
     * @param timer the executor that runs the action
     * @param intervalMillis the time before the first run and between two runs, in milliseconds
     * @param name the name of the action in log lines
     * @param action the action; must not block
     * @return the running task, never null
     */
    public static PeriodicTask start(
            ScheduledExecutorService timer, long intervalMillis, String name, Runnable action) {
        return start(timer, intervalMillis, intervalMillis, name, action);
    }

    /**
     * Starts running an action periodically, for the first time at once.
     *
     * @param timer the executor that runs the action
     * @param intervalMillis the time between two runs, in milliseconds
     * @param name the name of the action in log lines
     * @param action the action; must not block
     * @return the running task, never null
     */
    public static PeriodicTask startNow(
            ScheduledExecutorService timer, long intervalMillis, String name, Runnable action) {
        return start(timer, 0, intervalMillis, name, action);
    }

    private static PeriodicTask start(
            ScheduledExecutorService timer, long delayMillis, long intervalMillis, String name, Runnable action) {
        return new PeriodicTask(timer.scheduleWithFixedDelay(
                () -> runLogged(name, action), delayMillis, intervalMillis, TimeUnit.MILLISECONDS));
    }

    private static void runLogged(String name, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "event=periodic-task-failed task=%s", name);
        }
    }

    @Override
    public void close() {
        schedule.cancel(false);
    }
}
