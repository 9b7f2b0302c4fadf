package dev.waxwinghead.daemon.jobs;

import java.util.OptionalLong;

/**
 * An attempt of an entry host to have a call answered.
 *
 * @param call the call
 * @param epoch the epoch of the scheduler that the attempt is meant for, in which alone it may take effect; empty if
 *     the entry host runs an earlier version
 */
record JobAttempt(JobCall call, OptionalLong epoch) {}
