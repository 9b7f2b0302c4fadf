package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Spaces the starts of lasting tasks whose runs end soon after each start, so that they don't take the scheduler's
 * time.
 *
 * <p>The time between two starts doubles with each short run. It counts from the start, so a task whose run has lasted
 * for longer starts again at once.
 */
final class RestartPauses {
    /** The number of short runs in succession that are followed by a start at once: a worker may have been at fault. */
    private static final int UNPAUSED_RUNS = 2;

    private static final long FIRST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Below the 6 s after which a lasting task without a run counts as lost. */
    private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final SchedulerListener events;
    private final Map<TaskKey, Restarts> tasks = new HashMap<>();

    RestartPauses(SchedulerListener events) {
        this.events = events;
    }

    /** Records a start of a lasting task. */
    void started(TaskKey task, long now) {
        tasks.computeIfAbsent(task, key -> new Restarts()).startedNanos = now;
    }

    /** Records that a run of a lasting task has failed or completed. */
    void ended(TaskKey task, long now) {
        Restarts restarts = tasks.get(task);
        if (restarts == null) {
            return;
        }
        boolean lasted = now - restarts.startedNanos >= MAX_INTERVAL_NANOS;
        restarts.shortRuns = lasted ? 0 : restarts.shortRuns + 1;
        long pauseNanos = restarts.startedNanos + restarts.intervalNanos() - now;
        if (pauseNanos > 0) {
            events.restartPaused(task, restarts.shortRuns, TimeUnit.NANOSECONDS.toMillis(pauseNanos));
        }
    }

    /** Returns whether a task is not to be started yet. */
    boolean paused(TaskKey task, long now) {
        Restarts restarts = tasks.get(task);
        return restarts != null && now - restarts.startedNanos < restarts.intervalNanos();
    }

    /** Discards what was learned about a job that has ended. */
    void forget(JobId job) {
        tasks.keySet().removeIf(task -> task.job().equals(job));
    }

    /** Holds the latest start of a task, and how many of its latest runs were short. */
    private static final class Restarts {
        private long startedNanos;
        private int shortRuns;

        long intervalNanos() {
            if (shortRuns <= UNPAUSED_RUNS) {
                return 0;
            }
            int doublings = Math.min(shortRuns - UNPAUSED_RUNS - 1, 10);
            return Math.min(MAX_INTERVAL_NANOS, FIRST_INTERVAL_NANOS << doublings);
        }
    }
}
