package dev.waxwinghead.scheduling.job;

/**
 * Enumerates the reasons for which a task of a job waits, from the least to the most that a worker meets.
 *
 * @since 0.3
 */
public enum WaitReason {
    /** No worker of the service accepts tasks. */
    NO_WORKER,
    /** No worker has the required label and fewer tasks of the step than the limit. */
    NO_SUITABLE_WORKER,
    /** All suitable workers are quarantined or unproven. */
    WORKERS_RESTRICTED,
    /** All healthy workers are slow. */
    WORKERS_SLOW,
    /** No healthy worker has the memory, the accelerators and the processor time free. */
    NO_CAPACITY,
    /** No worker with capacity has serving tasks that tolerate another best-effort task. */
    SERVING_TASKS_NEAR_TARGET,
    /** All other workers were excluded, and those left run a task of another job under which a worker crashed. */
    WORKERS_RUN_SUSPECTS,
    /** Only workers of drained data centres could ever run the task. */
    DATA_CENTRE_DRAINED
}
