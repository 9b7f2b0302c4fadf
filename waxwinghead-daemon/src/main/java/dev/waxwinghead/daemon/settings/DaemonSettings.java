package dev.waxwinghead.daemon.settings;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Holds the validated settings of a daemon.
 *
 * @param cluster the name of the cluster; peers of another cluster are refused
 * @param host the id of this entry host
 * @param dataCentre the data centre of this entry host
 * @param callerListen the address to listen on for callers
 * @param workerListen the address to listen on for workers and upstreams
 * @param operatorListen the address to listen on for operators
 * @param peerListen the address to listen on for peers
 * @param peers all entry hosts, including this host
 * @param initialVoters the entry hosts that form the first replica group, each with a data folder
 * @param dataFolder the folder for durable state, empty for a learner without a disk
 * @param drainTimeout the maximum duration of a graceful shutdown
 * @param schedulerLease the duration for which an acting scheduler may act without contact to a majority
 * @param workerLease the duration for which a worker may run its tasks without contact to a scheduler
 * @param callerThreads the number of threads that serve callers
 */
public record DaemonSettings(
        String cluster,
        HostId host,
        DataCentreId dataCentre,
        InetSocketAddress callerListen,
        InetSocketAddress workerListen,
        InetSocketAddress operatorListen,
        InetSocketAddress peerListen,
        List<PeerAddress> peers,
        List<HostId> initialVoters,
        Optional<Path> dataFolder,
        Duration drainTimeout,
        Duration schedulerLease,
        Duration workerLease,
        int callerThreads) {
    /** Creates the settings with unmodifiable copies of the lists. */
    public DaemonSettings {
        peers = List.copyOf(peers);
        initialVoters = List.copyOf(initialVoters);
    }
}
