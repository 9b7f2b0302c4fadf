package dev.waxwinghead.daemon.part;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Runs an action again and again until it is closed. A failing run is logged and does not end the later ones. */
public final class PeriodicTask implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeriodicTask.class);

    private final Future<?> schedule;

    private PeriodicTask(Future<?> schedule) {
        this.schedule = schedule;
    }

    /**
     * Starts running an action.
     *
     * @param timer the timer that runs it
     * @param intervalMillis the time between the starts of two runs, in milliseconds; also before the first run
     * @param name the action's name in log lines
     * @param action the action; must not block
     * @return the running task, never null
     */
    public static PeriodicTask start(
            ScheduledExecutorService timer, long intervalMillis, String name, Runnable action) {
        return new PeriodicTask(timer.scheduleAtFixedRate(
                () -> runLogged(name, action), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS));
    }

    private static void runLogged(String name, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.errorf(e, "event=periodic-task-failed task=%s", name);
        }
    }

    @Override
    public void close() {
        schedule.cancel(false);
    }
}
