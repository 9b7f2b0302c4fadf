package dev.waxwinghead.daemon.jobs;

/**
 * Identifies a class, or a job of a class, as addressed by a caller.
 *
 * @param host the host name that the caller addressed; empty if the path begins with the name of the class
 * @param path the prefix or the name of a class, followed by the id of a job, or by nothing for the class as a whole
 */
public record JobTarget(String host, String path) {}
