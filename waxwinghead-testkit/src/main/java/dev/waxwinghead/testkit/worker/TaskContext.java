package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * Holds what a worker gives to its tasks.
 *
 * @param worker the worker
 * @param lease the lease that covers every act of a task
 * @param record where acts are written down
 * @param ticker the monotonic clock
 * @param timer runs the tasks' steps
 * @param client reaches the entry hosts
 * @param usageLag how late measurements are shown
 * @param failsAll whether each batch task on this worker fails at its first step
 * @param noiseMicros what the worker's tasks add to each request now, in microseconds
 */
record TaskContext(
        WorkerDescription worker,
        TaskLease lease,
        TaskRecord record,
        Ticker ticker,
        ScheduledExecutorService timer,
        EntryHostClient client,
        Duration usageLag,
        boolean failsAll,
        LongSupplier noiseMicros) {
    void write(String event, TaskCommand start, String detail) {
        record.append(worker, event, start.task().value(), start.attempt(), detail);
    }
}
