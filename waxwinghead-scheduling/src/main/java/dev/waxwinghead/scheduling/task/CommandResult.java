package dev.waxwinghead.scheduling.task;

/**
 * Tells the proposer of a command what became of it.
 *
 * @param accepted whether the command as a whole was in force
 * @param term the term of the data centre named, or the index of the command
 * @since 0.1
 */
public record CommandResult(boolean accepted, long term) {}
