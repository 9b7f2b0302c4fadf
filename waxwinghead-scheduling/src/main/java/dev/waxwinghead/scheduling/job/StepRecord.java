package dev.waxwinghead.scheduling.job;

import java.util.ArrayList;
import java.util.List;

/** Holds the tasks of a step in one occurrence of a job. */
public final class StepRecord {
    private final JobStep step;
    private final List<TaskRecord> tasks;
    private final GangCheckpoint gangCheckpoint = new GangCheckpoint();
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
     * Returns whether a task needs no further run. A lasting task always does, even one that an earlier version has
     * completed.
     *
     * @param task a task of this step
     * @return true if the task has completed and is not lasting
     * @since 0.3
     */
    public boolean finished(TaskRecord task) {
        return task.completed() && !step.lasting();
    }

    /**
     * Returns whether a task may be waiting for a start. Always true for speculative steps.
     *
     * @return true if a task may be waiting
     */
    public boolean mayHaveWaitingTasks() {
        int finished = step.lasting() ? 0 : completed;
        return finished + liveRuns < tasks.size() || step.speculative();
    }

    /**
     * Returns the number of live runs of the tasks.
     *
     * @return the number of runs, 0 or more
     */
    public int liveRuns() {
        return liveRuns;
    }

    /**
     * Returns the number of tasks that have not completed and have no live run, if no task has two.
     *
     * @return the number of tasks, 0 or more
     */
    int waitingTasks() {
        return Math.max(0, tasks.size() - completed - liveRuns);
    }

    /**
     * Returns the latest checkpoint of a task; the members of a gang share one.
     *
     * @param task a task of this step
     * @return the checkpoint, empty if there is none
     * @since 0.3
     */
    public String checkpoint(TaskRecord task) {
        return step.gang() ? gangCheckpoint.latest() : task.checkpoint();
    }

    /**
     * Returns the checkpoint that the live runs of a task start from; it is the same for all members of a gang.
     *
     * @param task a task of this step
     * @return the checkpoint, empty if there is none
     * @since 0.3
     */
    public String startCheckpoint(TaskRecord task) {
        return step.gang() ? gangCheckpoint.start() : task.checkpoint();
    }

    /**
     * Returns the rank of the latest checkpoint of a gang among those of its current attempt.
     *
     * @return the rank, see {@link CheckpointRecency}
     * @since 0.3
     */
    public int checkpointRecency() {
        return gangCheckpoint.recency();
    }

    void start(TaskRecord task, int attempt, WorkerIncarnation worker) {
        if (liveRuns == 0) {
            gangCheckpoint.startAttempt();
        }
        task.start(attempt, worker);
        liveRuns++;
    }

    void end(TaskRecord task, TaskRecord.LiveRun run, RunEnd end, String checkpoint, int recency) {
        boolean completedBefore = task.completed();
        task.end(run, end, checkpoint);
        if (step.gang()) {
            gangCheckpoint.saved(checkpoint, recency);
        }
        liveRuns--;
        if (!completedBefore && task.completed()) {
            completed++;
        }
    }

    /** Completes all tasks, including those whose run was lost before it reported its completion. */
    void completeGang() {
        for (TaskRecord task : tasks) {
            liveRuns -= task.liveRuns().size();
            task.liveRuns().clear();
            task.complete();
        }
        completed = tasks.size();
    }

    /**
     * Restores what follows from the state of the tasks. An earlier version completed only those members of a gang that
     * had a live run.
     */
    void restore() {
        if (step.gang() && tasks.stream().anyMatch(this::finished)) {
            tasks.forEach(TaskRecord::complete);
        }
        completed = (int) tasks.stream().filter(TaskRecord::completed).count();
        liveRuns = tasks.stream().mapToInt(task -> task.liveRuns().size()).sum();
        if (step.gang()) {
            gangCheckpoint.restore(tasks.stream().map(TaskRecord::checkpoint).toList());
        }
    }

    void restoreGangAttempt(String startCheckpoint, int recency) {
        gangCheckpoint.restoreAttempt(startCheckpoint, recency);
    }
}
