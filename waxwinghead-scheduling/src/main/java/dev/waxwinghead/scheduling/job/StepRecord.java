package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.List;

/** Holds the tasks of one step in one occurrence of a job. */
public final class StepRecord {
    private final JobStep step;
    private final List<TaskRecord> tasks;
    private int completed;
    private int live;

    StepRecord(JobStep step) {
        this.step = step;
        this.tasks = new ArrayList<>(step.count());
        for (int index = 0; index < step.count(); index++) {
            tasks.add(new TaskRecord());
        }
    }

    /**
     * Returns the step as it was submitted.
     *
     * @return the step, never null
     */
    public JobStep step() {
        return step;
    }

    /**
     * Returns the tasks, by position.
     *
     * @return the tasks; a live view
     */
    public List<TaskRecord> tasks() {
        return tasks;
    }

    /**
     * Tells whether all its tasks have completed.
     *
     * @return true if they have
     */
    public boolean completed() {
        return completed == tasks.size();
    }

    /**
     * Tells whether a task is neither completed nor running.
     *
     * @return true if one may be waiting
     */
    public boolean mayHaveWaiting() {
        return completed + live < tasks.size() || step.speculative();
    }

    /**
     * Returns how many runs of its tasks are live.
     *
     * @return the number, from 0
     */
    public int live() {
        return live;
    }

    void start(TaskRecord task, int attempt, WorkerLife worker) {
        task.start(attempt, worker);
        live++;
    }

    void end(TaskRecord task, TaskRecord.LiveRun run, RunEnd end, String checkpoint) {
        boolean before = task.completed();
        task.end(run, end, checkpoint);
        live--;
        if (!before && task.completed()) {
            completed++;
        }
    }

    void recount() {
        completed = (int) tasks.stream().filter(TaskRecord::completed).count();
        live = tasks.stream().mapToInt(task -> task.live().size()).sum();
    }
}
