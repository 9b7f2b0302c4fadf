package dev.waxwinghead.daemon.jobs;

/**
 * Names a class, and a job of it, as a caller does.
 *
 * @param host the host name that the caller addressed; empty if the path begins with the name of the class
 * @param path the path: the prefix or the name of a class, then the job's id; empty id for the class as a whole
 */
public record JobTarget(String host, String path) {}
