package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Holds the settings of a host that finds its peers through seeds. The ids of hosts are their IP addresses.
 *
 * @param cluster the name of the cluster; peers of other clusters are rejected
 * @param self this host, an IP address
 * @param dataCentre this host's data centre
 * @param peerPort the peer port, the same on all hosts
 * @param seeds supplies the hosts with a replica of the log that the settings name now
 * @param dataFolder the folder of the log; empty on a host without a replica
 * @param firstStart whether all hosts start for the first time, so that they may form a new group
 * @param voters the number of voters, odd
 * @param times the timing of the scheduler
 */
public record JobHostSettings(
        String cluster,
        HostId self,
        DataCentreId dataCentre,
        int peerPort,
        Supplier<List<HostId>> seeds,
        Optional<Path> dataFolder,
        boolean firstStart,
        int voters,
        SchedulerTimes times) {}
