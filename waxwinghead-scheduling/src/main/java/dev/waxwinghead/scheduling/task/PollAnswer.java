package dev.waxwinghead.scheduling.task;

import java.util.List;

/**
 * Answers a worker's poll.
 *
 * @param term the scheduler's term
 * @param leaseNanos how long the worker may run its tasks, from when it sent the poll; 0 grants nothing
 * @param commands what the worker is to do
 * @since 0.1
 */
public record PollAnswer(long term, long leaseNanos, List<WorkerCommand> commands) {
    /** Copies the list. */
    public PollAnswer {
        commands = List.copyOf(commands);
    }

    static PollAnswer nothing(long term) {
        return new PollAnswer(term, 0, List.of());
    }
}
