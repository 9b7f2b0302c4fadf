package dev.waxwinghead.testkit.worker;

import java.util.List;

/**
 * Holds the answer to a poll.
 *
 * @param schedulerTerm the term of the scheduler that answers
 * @param leaseMillis the lease of all tasks, in milliseconds from the sending of the poll; 0 grants nothing
 * @param scheduler the acting scheduler's worker port, null if unknown
 * @param commands what to do
 */
record PollAnswer(long schedulerTerm, long leaseMillis, String scheduler, List<TaskCommand> commands) {
    PollAnswer {
        commands = commands == null ? List.of() : List.copyOf(commands);
    }
}
