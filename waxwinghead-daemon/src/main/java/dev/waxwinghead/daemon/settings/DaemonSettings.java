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
 * Holds the checked settings of a daemon.
 *
 * @param cluster the name of the cluster; peers of another name are refused
 * @param host the id of this entry host
 * @param dataCentre the data centre of this entry host
 * @param callerListen where callers connect
 * @param workerListen where workers and upstreams connect
 * @param operatorListen where operators connect
 * @param peerListen where peers connect
 * @param peers all entry hosts, this one among them
 * @param initialVoters the entry hosts that form the first group, each with a data folder
 * @param dataFolder where durable state lives; empty for a learner without a disk
 * @param drainTimeout how long a graceful shutdown may take
 * @param schedulerLease how long an acting scheduler may act without contact to a majority
 * @param workerLease how long a worker may run its tasks without contact to a scheduler
 * @param callerThreads threads that serve callers
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
    /** Copies the lists. */
    public DaemonSettings {
        peers = List.copyOf(peers);
        initialVoters = List.copyOf(initialVoters);
    }
}
