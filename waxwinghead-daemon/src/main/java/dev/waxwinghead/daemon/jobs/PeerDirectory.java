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

/** Keeps the peer network connected to the seeds and to the members of the log. */
final class PeerDirectory {
    /** Placeholder for the data centre of a peer, which neither the seeds nor the members name. */
    private static final DataCentreId UNKNOWN_DATA_CENTRE = DataCentreId.of("unknown");

    private final PeerNetwork network;
    private final int peerPort;
    private Map<HostId, PeerAddress> current = Map.of();

    PeerDirectory(PeerNetwork network, int peerPort) {
        this.network = network;
        this.peerPort = peerPort;
    }

    /** Connects the peer network to the given hosts, except this host, and disconnects all others. */
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
        return new PeerAddress(host, UNKNOWN_DATA_CENTRE, new InetSocketAddress(host.value(), peerPort));
    }
}
