package dev.waxwinghead.daemon.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.coordination.log.ReplicatedLog;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.Requests;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.util.Map;

/** Handles {@code POST /v1/members/remove}. */
final class MembersHandler implements HttpHandler {
    private final ReplicatedLog log;
    private final Ticker ticker;

    MembersHandler(ReplicatedLog log, Ticker ticker) {
        this.log = log;
        this.ticker = ticker;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Requests.requireOrder(exchange);
        HostId host = JsonExchange.read(exchange, RemoveRequest.class).host;
        if (host == null) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, "host is missing", "name the entry host to remove");
        }
        Deadline deadline = Deadline.after(ChangesHandler.CHANGE_TIMEOUT, ticker);
        JsonExchange.respondWhenComplete(
                exchange, log.removeMember(host, deadline).thenApply(done -> Map.of("removed", host.value())));
    }

    /** Represents the body of a removal. */
    record RemoveRequest(@JsonProperty("host") HostId host) {}
}
