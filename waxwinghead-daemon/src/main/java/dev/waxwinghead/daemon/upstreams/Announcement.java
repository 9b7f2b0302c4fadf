package dev.waxwinghead.daemon.upstreams;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.UpstreamId;
import dev.waxwinghead.model.id.WorkerId;
import java.net.InetSocketAddress;

/**
 * Represents the JSON body of an upstream's announcement.
 *
 * @param upstream the id of the upstream; a restarted upstream uses a new id
 * @param service the service that the upstream serves
 * @param address the address that the upstream listens on, as {@code ip:port}
 * @param dataCentre the data centre of the upstream
 * @param worker the worker that the upstream runs on, may be null
 * @param slots the number of concurrent requests that the upstream accepts; null means 8
 * @param connections the number of connections that the upstream accepts; null means 64
 * @param state {@code serving} or {@code leaving}; null means serving
 */
record Announcement(
        UpstreamId upstream,
        ServiceName service,
        String address,
        DataCentreId dataCentre,
        WorkerId worker,
        Integer slots,
        Integer connections,
        String state) {
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_CONNECTIONS = 64;
    private static final int MAX_LIMIT = 10_000;

    boolean leaving() {
        if (state == null || state.equals("serving")) {
            return false;
        }
        if (state.equals("leaving")) {
            return true;
        }
        throw invalid("state is '" + state + "'", "use serving or leaving");
    }

    Upstream toUpstream() {
        requirePresent(upstream, "upstream");
        requirePresent(service, "service");
        requirePresent(address, "address");
        requirePresent(dataCentre, "dataCentre");
        return new Upstream(
                upstream,
                service,
                parseAddress(address),
                dataCentre,
                worker == null ? "" : worker.value(),
                checkRange(slots, DEFAULT_SLOTS, "slots"),
                checkRange(connections, DEFAULT_CONNECTIONS, "connections"));
    }

    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:]+]")) {
            throw invalid("address is '" + text + "'", "give an IP number and a port, such as 127.0.0.1:9001");
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, "address is '" + text + "'", "give a port from 1 to 65535", e);
        }
    }

    private static int checkRange(Integer value, int defaultValue, String field) {
        int limit = value == null ? defaultValue : value;
        if (limit < 1 || limit > MAX_LIMIT) {
            throw invalid(field + " is " + limit, "give a value from 1 to " + MAX_LIMIT);
        }
        return limit;
    }

    private static void requirePresent(Object value, String field) {
        if (value == null) {
            throw invalid(field + " is missing", "give the " + field);
        }
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
