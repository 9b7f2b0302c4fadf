package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.QuarantineControl;
import java.util.Optional;

/**
 * Listens to the decisions of a {@link JobScheduler}, for logs and metrics. Implementations must not block.
 *
 * @since 0.2
 */
public interface SchedulerListener {
    /**
     * Called when the first report of a worker's incarnation arrives.
     *
     * @param report the report
     */
    void workerSeen(WorkerReport report);

    /**
     * Called when a worker has announced its exit.
     *
     * @param incarnation the worker's incarnation
     */
    void workerExiting(WorkerIncarnation incarnation);

    /**
     * Called when no run can be running on a worker any more.
     *
     * @param incarnation the worker's incarnation
     * @param reason the reason, such as {@code lease-ended}
     */
    void workerGone(WorkerIncarnation incarnation, String reason);

    /**
     * Called when it is about to be recorded that a worker with live runs has not reported for a while, or not yet to a
     * new scheduler. Its runs keep their capacity until it reports or is given up.
     *
     * @param incarnation the worker's incarnation
     * @param runs the number of live runs on the worker
     * @param reported whether the worker has reported to this scheduler
     * @param millis how long until the worker is given up, in milliseconds
     * @since 0.3
     */
    void workerSilent(WorkerIncarnation incarnation, int runs, boolean reported, long millis);

    /**
     * Called when it is about to be recorded that a silent worker has reported again.
     *
     * @param incarnation the worker's incarnation
     * @since 0.3
     */
    void workerReturned(WorkerIncarnation incarnation);

    /**
     * Called when a report is ignored, since it is late or of an earlier incarnation.
     *
     * @param report the report
     */
    void reportIgnored(WorkerReport report);

    /**
     * Called when a report is ignored, since its service is neither declared nor named by a job.
     *
     * @param report the report
     */
    void reportRejected(WorkerReport report);

    /**
     * Called once for a live run that its worker has listed neither as running nor as ended for longer than a start
     * takes. The run keeps its capacity.
     *
     * @param run the run
     * @param worker the worker's incarnation
     * @param sent whether the start was sent in an answer of this scheduler
     * @param stopping whether the worker is told to stop the run
     */
    void unlisted(RunKey run, WorkerIncarnation worker, boolean sent, boolean stopping);

    /**
     * Called when a run ends that was to stop before its worker started it.
     *
     * @param run the run
     * @param worker the worker's incarnation
     */
    void neverStarted(RunKey run, WorkerIncarnation worker);

    /**
     * Called when the start of a run is about to be committed.
     *
     * @param run the run
     * @param worker the worker that runs it
     * @param epoch the scheduler's epoch
     */
    void starting(RunKey run, WorkerIncarnation worker, long epoch);

    /**
     * Called when a worker is about to be instructed to stop a run.
     *
     * @param run the run
     * @param worker the worker that runs it
     * @param reason the reason, such as {@code job-ended}
     */
    void stopping(RunKey run, WorkerIncarnation worker, String reason);

    /**
     * Called when the end of a run is about to be committed.
     *
     * @param end the end
     * @param worker the worker that ran it
     */
    void ended(WorkerReport.EndedRun end, WorkerIncarnation worker);

    /**
     * Called when the end of a run is about to be committed whose worker is given up.
     *
     * @param run the run
     * @param worker the worker that ran it
     * @param end the end
     * @since 0.3
     */
    void endedWithWorker(RunKey run, WorkerIncarnation worker, RunEnd end);

    /**
     * Called when the crash of a worker is about to be counted against the task of a run.
     *
     * @param run the run
     * @param worker the worker that crashed
     * @param crashes the number of workers that crashed under the task, including this one
     * @since 0.3
     */
    void workerCrashed(RunKey run, WorkerIncarnation worker, int crashes);

    /**
     * Called when a job is about to fail, since workers crashed under one of its tasks.
     *
     * @param task the task
     * @param crashes the number of workers that crashed under the task
     * @since 0.3
     */
    void givenUp(TaskKey task, int crashes);

    /**
     * Called when a worker is quarantined, or would be if the bound on the share of quarantined workers allowed it.
     *
     * @param worker the worker
     * @param evidence the failures that count against the worker
     * @param millis how long the quarantine lasts, in milliseconds; 0 if the bound does not allow it
     * @since 0.3
     */
    void quarantineDecided(WorkerId worker, QuarantineControl.Evidence evidence, long millis);

    /**
     * Called when a lasting task is not started again at once, since its runs end soon after each start.
     *
     * @param task the task
     * @param shortRuns the number of short runs in succession
     * @param millis how long the task has to wait, in milliseconds
     * @since 0.3
     */
    void restartPaused(TaskKey task, int shortRuns, long millis);

    /**
     * Called when a job waits for another reason than before, at most once a second for each job.
     *
     * @param job the job
     * @param step the position of the step whose tasks wait, from 0
     * @param reason the reason
     * @param closest the free capacity of the worker with the required label that lacks least for a task of the step,
     *     empty if there is none
     */
    void waiting(JobRecord job, int step, WaitReason reason, Optional<FreeCapacity> closest);

    /**
     * Called when a worker is found to be slow, or sound again.
     *
     * @param worker the worker
     * @param slow whether the worker is slow now
     * @param factor the progress of its tasks as a multiple of that of the same steps on other workers
     */
    void workerSpeed(WorkerId worker, boolean slow, double factor);

    /**
     * Called periodically with the learned interference between images.
     *
     * @param pairs the pairs of images, each with the rise of the logarithm of the latency per unit, in thousandths
     */
    void interferenceLearned(String pairs);

    /**
     * Called when a job has ended.
     *
     * @param job the job
     */
    void jobEnded(JobRecord job);
}
