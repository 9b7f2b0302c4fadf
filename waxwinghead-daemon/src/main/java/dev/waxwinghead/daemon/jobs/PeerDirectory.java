package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Keeps the peer connections to the seeds and to the members of the log's group. */
final class PeerDirectory {
    /** Stands for the data centre of a peer, which no one tells. */
    private static final DataCentreId UNKNOWN = DataCentreId.of("unknown");

    private final PeerNetwork network;
    private final int peerPort;
    private Map<HostId, PeerAddress> current = Map.of();

    PeerDirectory(PeerNetwork network, int peerPort) {
        this.network = network;
        this.peerPort = peerPort;
    }

    /** Connects to the hosts at the seeds' and the members' addresses. */
    synchronized void update(Collection<HostId> seeds, Collection<HostId> members) {
        Map<HostId, PeerAddress> next = new LinkedHashMap<>();
        seeds.forEach(host -> next.put(host, address(host)));
        members.forEach(host -> next.put(host, address(host)));
        next.remove(network.self());
        if (!next.equals(current)) {
            current = next;
            network.setPeers(next.values());
            Event.of("peers").with("hosts", next.keySet()).write();
        }
    }

    private PeerAddress address(HostId host) {
        return new PeerAddress(host, UNKNOWN, new InetSocketAddress(host.value(), peerPort));
    }
}
