package dev.waxwinghead.scheduling.job;

/**
 * Is told of each decision of a {@link JobScheduler}, for logs and metrics. Must not block.
 *
 * @since 0.2
 */
public interface SchedulerEvents {
    /**
     * A worker's life was heard of for the first time.
     *
     * @param report its report
     */
    void workerSeen(WorkerReport report);

    /**
     * Nothing can be running on a worker any more.
     *
     * @param life the worker's life
     * @param reason why
     */
    void workerGone(WorkerLife life, String reason);

    /**
     * A report was late or of a life that is over.
     *
     * @param report the report
     */
    void reportPassedOver(WorkerReport report);

    /**
     * A run is about to be committed as started.
     *
     * @param run the run
     * @param worker where it runs
     * @param epoch the scheduler's epoch
     */
    void starting(RunKey run, WorkerLife worker, long epoch);

    /**
     * A run will be told to stop.
     *
     * @param run the run
     * @param worker where it runs
     * @param reason why
     */
    void stopping(RunKey run, WorkerLife worker, String reason);

    /**
     * The end of a run is about to be committed.
     *
     * @param end the end
     * @param worker where it ran
     */
    void ended(WorkerReport.EndedRun end, WorkerLife worker);

    /**
     * Tells from time to time what was learned of images that disturb each other.
     *
     * @param pairs the pairs, with the rise of the logarithm of a latency in thousandths a unit
     */
    void learned(String pairs);

    /**
     * A job has ended.
     *
     * @param job the job
     */
    void jobEnded(JobRecord job);
}
