package dev.waxwinghead.coordination.peer;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;

/**
 * Holds the address of the peer port of an entry host.
 *
 * @param host the entry host
 * @param dataCentre the data centre of the host
 * @param address the IP address and port
 * @since 0.1
 */
public record PeerAddress(HostId host, DataCentreId dataCentre, InetSocketAddress address) {}
