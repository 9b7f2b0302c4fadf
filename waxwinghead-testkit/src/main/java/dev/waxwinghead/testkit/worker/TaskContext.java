package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * Provides the services of a worker to its tasks.
 *
 * @param worker the worker
 * @param lease the lease that tasks need in order to act
 * @param record the file that receives the events of tasks
 * @param ticker the monotonic clock
 * @param timer the executor that runs the steps of tasks
 * @param client the client for the entry hosts
 * @param usageLag the delay after which measurements are reported
 * @param failsAll whether each batch task on this worker fails at its first step
 * @param noiseMicros supplies the delay that the tasks of the worker add to each request, in microseconds
 */
record TaskContext(
        WorkerDescription worker,
        TaskLease lease,
        TaskEventFile record,
        Ticker ticker,
        ScheduledExecutorService timer,
        EntryHostClient client,
        Duration usageLag,
        boolean failsAll,
        LongSupplier noiseMicros) {
    void recordEvent(String event, TaskCommand start, String detail) {
        record.append(worker, event, start.task().value(), start.attempt(), detail);
    }
}
