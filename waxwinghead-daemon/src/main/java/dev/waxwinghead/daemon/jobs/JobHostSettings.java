package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Holds the settings of a host that finds its peers through seeds. Hosts are named by their IP number.
 *
 * @param cluster the name of the cluster; peers of another name are refused
 * @param self this host, named by its IP number
 * @param dataCentre this host's data centre
 * @param peerPort the peer port, the same on all hosts
 * @param seeds returns hosts that keep the log, as the settings name them now
 * @param dataFolder where the log is kept; empty on a host that keeps none
 * @param firstStart whether all hosts start for the first time, so that a group may be formed
 * @param voters how many hosts vote, odd
 * @param times the times that the scheduler keeps to
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
