package dev.waxwinghead.testkit.worker;

import java.util.List;

/**
 * Represents the response to a poll.
 *
 * @param schedulerTerm the term of the scheduler that answers
 * @param leaseMillis the lease of all tasks, in milliseconds from the sending of the poll; 0 grants no lease
 * @param scheduler the worker port of the acting scheduler as {@code ip:port}, null if unknown
 * @param commands the commands to carry out, never null
 */
record PollAnswer(long schedulerTerm, long leaseMillis, String scheduler, List<TaskCommand> commands) {
    PollAnswer {
        commands = commands == null ? List.of() : List.copyOf(commands);
    }
}
