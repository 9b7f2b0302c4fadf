package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.UpstreamId;
import java.net.InetSocketAddress;

/**
 * Describes an upstream. The description never changes while the upstream is running.
 *
 * @param id the id of the upstream
 * @param service the service that the upstream serves
 * @param address the address that the upstream listens on
 * @param dataCentre the data centre of the upstream
 * @param worker the worker that the upstream runs on, empty if unknown
 * @param slots the number of concurrent requests that the upstream accepts
 * @param connections the number of connections that the upstream accepts
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
     * Returns the address as the authority of a URI.
     *
     * @return the IP address and port as {@code ip:port}, never null
     */
    public String authority() {
        String host = address.getHostString();
        String literal = host.contains(":") && !host.startsWith("[") ? "[" + host + "]" : host;
        return literal + ":" + address.getPort();
    }
}
