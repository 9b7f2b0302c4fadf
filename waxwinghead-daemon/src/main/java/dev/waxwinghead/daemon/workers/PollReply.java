package dev.waxwinghead.daemon.workers;

import dev.waxwinghead.scheduling.task.PollAnswer;

/**
 * Answers a poll and names the acting scheduler.
 *
 * @param answer the answer
 * @param scheduler the worker port of the acting scheduler, as {@code ip:port}
 */
public record PollReply(PollAnswer answer, String scheduler) {}
