package dev.waxwinghead.daemon.workers;

import dev.waxwinghead.scheduling.task.PollAnswer;

/**
 * Holds the answer to a poll and the address of the acting scheduler.
 *
 * @param answer the answer
 * @param scheduler the address on which the acting scheduler listens for workers, as {@code ip:port}
 */
public record PollReply(PollAnswer answer, String scheduler) {}
