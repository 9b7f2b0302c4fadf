package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

/** Holds a job: the submission, the terms of its class and the state of its tasks. */
public final class JobRecord {
    private final JobSubmission submission;
    private final JobTerms terms;
    private final long acceptedEpochMillis;
    /** The first occurrences; the others have no task that was ever started, and are added when they are asked for. */
    private final List<List<StepRecord>> occurrences = new ArrayList<>();

    private JobState state;
    private boolean begun;

    JobRecord(JobSubmission submission, JobTerms terms, long acceptedEpochMillis, JobState state) {
        this.submission = submission;
        this.terms = terms;
        this.acceptedEpochMillis = acceptedEpochMillis;
        this.state = state;
    }

    /**
     * Returns the job's id.
     *
     * @return the id, never null
     */
    public JobId id() {
        return submission.id();
    }

    /**
     * Returns the job as it was submitted.
     *
     * @return the submission, never null
     */
    public JobSubmission submission() {
        return submission;
    }

    /**
     * Returns the terms that the job's class had when the job was accepted.
     *
     * @return the terms, never null
     */
    public JobTerms terms() {
        return terms;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return the time, in wall-clock milliseconds of the accepting host
     */
    public long acceptedEpochMillis() {
        return acceptedEpochMillis;
    }

    /**
     * Returns the job's state.
     *
     * @return the state, never null
     */
    public JobState state() {
        return state;
    }

    /**
     * Returns whether a worker has listed a run of the job.
     *
     * @return false while all runs may have been assigned to workers that never started them
     * @since 0.3
     */
    public boolean begun() {
        return begun;
    }

    /**
     * Returns the state that callers see: a job is queued until it has begun.
     *
     * @return the state, never null
     * @since 0.3
     */
    public JobState visibleState() {
        return state == JobState.RUNNING && !begun ? JobState.QUEUED : state;
    }

    /**
     * Returns the steps of the occurrences whose tasks may have been started. The steps of the others take no memory.
     *
     * @return the steps by occurrence and position; a live view
     */
    public List<List<StepRecord>> occurrences() {
        return Collections.unmodifiableList(occurrences);
    }

    /**
     * Returns the steps of an occurrence.
     *
     * @param occurrence the occurrence, from 0
     * @return the steps by position; a live view
     * @throws IndexOutOfBoundsException if the job has no such occurrence
     * @since 0.3
     */
    public List<StepRecord> occurrence(int occurrence) {
        Objects.checkIndex(occurrence, submission.schedule().occurrences());
        while (occurrences.size() <= occurrence) {
            occurrences.add(submission.steps().stream().map(StepRecord::new).toList());
        }
        return occurrences.get(occurrence);
    }

    /**
     * Returns the step that a task belongs to.
     *
     * @param task the task
     * @return the step, never null
     * @throws IndexOutOfBoundsException if the job has no such step
     */
    public StepRecord step(TaskKey task) {
        return occurrence(task.occurrence()).get(task.step());
    }

    /**
     * Returns a task.
     *
     * @param task the key of the task
     * @return the task, never null
     * @throws IndexOutOfBoundsException if the job has no such task
     */
    public TaskRecord task(TaskKey task) {
        return step(task).tasks().get(task.index());
    }

    /**
     * Returns whether all steps that a step depends on have completed.
     *
     * @param occurrence the occurrence, from 0
     * @param position the step's position, from 0
     * @return true if the step's tasks may start
     */
    public boolean ready(int occurrence, int position) {
        List<StepRecord> steps = occurrence(occurrence);
        for (int earlier : submission.steps().get(position).after()) {
            if (!steps.get(earlier).completed()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the number of live runs of the job's tasks.
     *
     * @return the number of runs, 0 or more
     */
    public int liveRuns() {
        int live = 0;
        for (List<StepRecord> steps : occurrences) {
            for (StepRecord step : steps) {
                live += step.liveRuns();
            }
        }
        return live;
    }

    /**
     * Returns the estimated duration of the critical path over the steps that have not completed.
     *
     * @return the duration in milliseconds, of the occurrence with the longest remaining critical path
     */
    public long remainingCriticalPathMillis() {
        if (occurrences.size() < submission.schedule().occurrences()) {
            return submission.criticalPathMillis();
        }
        long longest = 0;
        for (List<StepRecord> steps : occurrences) {
            longest = Math.max(longest, remainingCriticalPathMillis(steps));
        }
        return longest;
    }

    private static long remainingCriticalPathMillis(List<StepRecord> steps) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int position = 0; position < ends.length; position++) {
            JobStep step = steps.get(position).step();
            long earliestStart = 0;
            for (int earlier : step.after()) {
                earliestStart = Math.max(earliestStart, ends[earlier]);
            }
            ends[position] = earliestStart + (steps.get(position).completed() ? 0 : step.estimateMillis());
            longest = Math.max(longest, ends[position]);
        }
        return longest;
    }

    boolean contains(TaskKey task) {
        return task.occurrence() >= 0
                && task.occurrence() < submission.schedule().occurrences()
                && task.step() >= 0
                && task.step() < submission.steps().size()
                && task.index() >= 0
                && task.index() < submission.steps().get(task.step()).count();
    }

    void begin() {
        begun = true;
    }

    void restoreNotBegun() {
        begun = false;
    }

    void state(JobState next) {
        state = next;
    }

    boolean allCompleted() {
        return occurrences.size() == submission.schedule().occurrences()
                && occurrences.stream().allMatch(steps -> steps.stream().allMatch(StepRecord::completed));
    }
}
