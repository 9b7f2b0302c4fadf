package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;

/**
 * The term of the entry host that schedules a data centre.
 *
 * @param dataCentre the data centre
 * @param term the index of the log entry that assigned the role; increases with each change of the role
 * @param host the acting scheduler; null after the role has been given up
 * @param address the address for polls of workers, as {@code ip:port}; null after the role has been given up
 * @param renewals the number of renewals in this term
 * @param leaseMillis how long after the last renewal a lease granted in this term or an earlier one may run, in
 *     milliseconds of the granting host's clock
 * @since 0.1
 */
public record SchedulerTerm(
        DataCentreId dataCentre, long term, HostId host, String address, long renewals, long leaseMillis) {}
