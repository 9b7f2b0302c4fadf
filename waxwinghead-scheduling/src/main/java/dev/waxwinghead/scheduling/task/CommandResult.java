package dev.waxwinghead.scheduling.task;

/**
 * The result of applying a {@link TaskCommand}.
 *
 * @param accepted whether the command was accepted as a whole
 * @param term the term of the data centre that the command names, the configuration revision if a reconciliation was
 *     refused, or the log index of the command
 * @since 0.1
 */
public record CommandResult(boolean accepted, long term) {}
