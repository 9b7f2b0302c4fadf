package dev.waxwinghead.scheduling.task;

import java.util.List;

/**
 * The answer to a poll of a worker.
 *
 * @param term the term of the scheduler
 * @param leaseNanos how long the worker may run tasks, in nanoseconds from when the worker sent the poll; 0 if no lease
 *     is granted
 * @param commands the commands for the worker, never null
 * @since 0.1
 */
public record PollAnswer(long term, long leaseNanos, List<WorkerCommand> commands) {
    /** Copies the list of commands. */
    public PollAnswer {
        commands = List.copyOf(commands);
    }

    static PollAnswer withoutLease(long term) {
        return new PollAnswer(term, 0, List.of());
    }
}
