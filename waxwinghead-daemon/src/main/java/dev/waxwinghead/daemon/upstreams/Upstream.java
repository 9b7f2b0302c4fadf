package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.UpstreamId;
import java.net.InetSocketAddress;

/**
 * Describes an upstream. It never changes during the upstream's life.
 *
 * @param id the upstream
 * @param service the service it serves
 * @param address where it listens
 * @param dataCentre its data centre
 * @param worker the worker it runs on, empty if unknown
 * @param slots the requests it takes at once
 * @param connections the connections it takes
 */
public record Upstream(
        UpstreamId id,
        ServiceName service,
        InetSocketAddress address,
        DataCentreId dataCentre,
        String worker,
        int slots,
        int connections) {
    /**
     * Returns the address as text.
     *
     * @return the IP number and port as {@code ip:port}
     */
    public String authority() {
        String host = address.getHostString();
        String literal = host.contains(":") && !host.startsWith("[") ? "[" + host + "]" : host;
        return literal + ":" + address.getPort();
    }
}
