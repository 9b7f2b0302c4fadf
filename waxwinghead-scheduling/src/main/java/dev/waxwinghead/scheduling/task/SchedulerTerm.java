package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;

/**
 * Says which entry host schedules a data centre.
 *
 * @param dataCentre the data centre
 * @param term the index of the log entry that gave the host the role; rises with each change
 * @param host the acting host; null after it gave the role up
 * @param address its worker port, as {@code ip:port}; null after it gave the role up
 * @param renewals how often the role was renewed in this term
 * @param leaseMillis how long after the last renewal a lease granted in this term or an earlier one may run, in
 *     milliseconds, by the grantors' clocks
 * @since 0.1
 */
public record SchedulerTerm(
        DataCentreId dataCentre, long term, HostId host, String address, long renewals, long leaseMillis) {}
