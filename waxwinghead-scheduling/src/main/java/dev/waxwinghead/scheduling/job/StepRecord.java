package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.List;

/** Holds the tasks of a step in one occurrence of a job. */
public final class StepRecord {
    private final JobStep step;
    private final List<TaskRecord> tasks;
    private int completed;
    private int liveRuns;

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
     * Returns whether all tasks have completed.
     *
     * @return true if all tasks have completed
     */
    public boolean completed() {
        return completed == tasks.size();
    }

    /**
     * Returns whether a task may be waiting for a start. Always true for speculative steps.
     *
     * @return true if a task may be waiting
     */
    public boolean mayHaveWaitingTasks() {
        return completed + liveRuns < tasks.size() || step.speculative();
    }

    /**
     * Returns the number of live runs of the tasks.
     *
     * @return the number of runs, 0 or more
     */
    public int liveRuns() {
        return liveRuns;
    }

    void start(TaskRecord task, int attempt, WorkerIncarnation worker) {
        task.start(attempt, worker);
        liveRuns++;
    }

    void end(TaskRecord task, TaskRecord.LiveRun run, RunEnd end, String checkpoint) {
        boolean completedBefore = task.completed();
        task.end(run, end, checkpoint);
        liveRuns--;
        if (!completedBefore && task.completed()) {
            completed++;
        }
    }

    void recount() {
        completed = (int) tasks.stream().filter(TaskRecord::completed).count();
        liveRuns = tasks.stream().mapToInt(task -> task.liveRuns().size()).sum();
    }
}
