package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Holds what is known of one task: its runs so far and the live ones. */
public final class TaskRecord {
    private final List<LiveRun> live = new ArrayList<>(1);
    private int attempts;
    private int failures;
    private boolean completed;
    private String checkpoint = "";

    TaskRecord() {}

    /**
     * Returns the runs that may be running.
     *
     * @return the runs; a live view
     */
    public List<LiveRun> live() {
        return live;
    }

    /**
     * Returns how many runs were started.
     *
     * @return the number, from 0
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Returns how many runs failed.
     *
     * @return the number, from 0
     */
    public int failures() {
        return failures;
    }

    /**
     * Tells whether a run has completed.
     *
     * @return true if one has
     */
    public boolean completed() {
        return completed;
    }

    /**
     * Returns what the task saved last.
     *
     * @return the checkpoint, empty if there is none
     */
    public String checkpoint() {
        return checkpoint;
    }

    Optional<LiveRun> find(int attempt) {
        return live.stream().filter(run -> run.attempt() == attempt).findFirst();
    }

    void start(int attempt, WorkerLife worker) {
        attempts = attempt;
        live.add(new LiveRun(attempt, worker));
    }

    void end(LiveRun run, RunEnd end, String saved) {
        live.remove(run);
        if (end == RunEnd.COMPLETED) {
            completed = true;
        } else if (end == RunEnd.FAILED) {
            failures++;
        }
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }

    void restore(int attemptsSoFar, int failuresSoFar, boolean isCompleted, String saved) {
        attempts = attemptsSoFar;
        failures = failuresSoFar;
        completed = isCompleted;
        checkpoint = saved;
    }

    /**
     * Describes a run that may be running.
     *
     * @param attempt its number among the task's runs
     * @param worker where it runs
     */
    public record LiveRun(int attempt, WorkerLife worker) {}
}
