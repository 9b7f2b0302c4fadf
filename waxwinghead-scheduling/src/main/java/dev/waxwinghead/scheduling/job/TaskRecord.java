package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Holds the state of a task: its progress, its failures and its live runs. */
public final class TaskRecord {
    private final List<LiveRun> liveRuns = new ArrayList<>(1);
    private int attempts;
    private int failures;
    private int crashes;
    private boolean completed;
    private String checkpoint = "";

    TaskRecord() {}

    /**
     * Returns the runs that may be running.
     *
     * @return the runs; a live view
     */
    public List<LiveRun> liveRuns() {
        return liveRuns;
    }

    /**
     * Returns the number of runs started.
     *
     * @return the number of runs, 0 or more
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Returns the number of runs that failed.
     *
     * @return the number of runs, 0 or more
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns the number of workers that crashed under the task since a run last outlived its start.
     *
     * @return the number of workers, 0 or more
     * @since 0.3
     */
    public int crashes() {
        return crashes;
    }

    /**
     * Returns whether the task may be one that crashes its workers.
     *
     * @return true if a worker has crashed under the task since a run last outlived its start
     * @since 0.3
     */
    public boolean suspect() {
        return crashes > 0;
    }

    /**
     * Returns whether a run has completed.
     *
     * @return true if a run has completed
     */
    public boolean completed() {
        return completed;
    }

    /**
     * Returns the latest checkpoint of the task.
     *
     * @return the checkpoint, empty if there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    Optional<LiveRun> find(int attempt) {
        return liveRuns.stream().filter(run -> run.attempt() == attempt).findFirst();
    }

    void start(int attempt, WorkerIncarnation worker) {
        attempts = attempt;
        liveRuns.add(new LiveRun(attempt, worker));
    }

    void end(LiveRun run, RunEnd end, String saved) {
        liveRuns.remove(run);
        if (end == RunEnd.COMPLETED) {
            complete();
        } else if (end == RunEnd.FAILED) {
            failures++;
            crashes = 0;
        } else if (end == RunEnd.WORKER_CRASHED) {
            crashes++;
        } else if (end == RunEnd.INTERRUPTED_AFTER_START) {
            crashes = 0;
        }
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }

    /** Completes the task; a member of a gang completes without an end of its own. */
    void complete() {
        completed = true;
        crashes = 0;
    }

    void restore(int attemptsSoFar, int failuresSoFar, boolean isCompleted, String saved) {
        attempts = attemptsSoFar;
        failures = failuresSoFar;
        completed = isCompleted;
        checkpoint = saved;
    }

    void restoreCrashes(int crashesSoFar) {
        crashes = crashesSoFar;
    }

    /**
     * Describes a run that may be running.
     *
     * @param attempt the number of the run among the task's runs, from 1
     * @param worker the worker that runs it
     */
    public record LiveRun(int attempt, WorkerIncarnation worker) {}
}
