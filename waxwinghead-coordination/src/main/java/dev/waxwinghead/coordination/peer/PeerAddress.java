package dev.waxwinghead.coordination.peer;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetSocketAddress;

/**
 * Tells where an entry host's peer port is.
 *
 * @param host the entry host
 * @param dataCentre its data centre
 * @param address the IP number and port
 * @since 0.1
 */
public record PeerAddress(HostId host, DataCentreId dataCentre, InetSocketAddress address) {}
