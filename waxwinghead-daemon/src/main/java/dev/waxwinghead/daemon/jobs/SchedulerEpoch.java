package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.id.HostId;

/**
 * Identifies an acting scheduler.
 *
 * @param host the host that acts
 * @param epoch the epoch in which it acts; later schedulers of the same log have greater ones
 */
record SchedulerEpoch(HostId host, long epoch) {}
