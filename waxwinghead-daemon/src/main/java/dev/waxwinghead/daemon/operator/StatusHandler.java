package dev.waxwinghead.daemon.operator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.Requests;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.daemon.part.DaemonPart;
import dev.waxwinghead.model.id.HostId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Handles {@code GET /v1/status} from local state, so that the status is available without a majority. */
final class StatusHandler implements HttpHandler {
    private final DaemonContext context;
    private final RevisionGossip gossip;
    private final List<DaemonPart> parts;

    StatusHandler(DaemonContext context, RevisionGossip gossip, List<DaemonPart> parts) {
        this.context = context;
        this.gossip = gossip;
        this.parts = List.copyOf(parts);
    }

    @Override
    public void handle(HttpExchange exchange) {
        Requests.requireMethod(exchange, "GET");
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("host", context.self());
        body.put("dataCentre", context.dataCentre());
        body.put("log", describe(context.sharedState().status()));
        body.put("revision", context.configuration().current().revision());
        body.put("peers", context.peers().peers().stream().map(this::describe).toList());
        Map<String, Object> byPart = new LinkedHashMap<>();
        parts.forEach(part -> byPart.putAll(part.status()));
        body.put("parts", byPart);
        JsonExchange.respond(exchange, 200, body);
    }

    private static Map<String, Object> describe(LogStatus log) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("replica", log.replica());
        body.put("role", log.role());
        body.put("term", log.term());
        body.put("leader", log.leader().map(HostId::value).orElse(null));
        body.put("committedIndex", log.committedIndex());
        body.put("appliedIndex", log.appliedIndex());
        body.put("majorityInReach", log.majorityInReach());
        body.put("outOfContactSinceEpochMillis", log.outOfContactSinceEpochMillis());
        body.put("members", log.members());
        return body;
    }

    private Map<String, Object> describe(PeerNetwork.PeerStatus peer) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("host", peer.host());
        body.put("dataCentre", peer.dataCentre());
        body.put("connected", peer.connected());
        body.put("lastHeardAgoMillis", lastHeardAgoMillis(peer));
        OptionalLong revision = gossip.revision(peer.host());
        body.put("revision", revision.isPresent() ? revision.getAsLong() : null);
        return body;
    }

    private Long lastHeardAgoMillis(PeerNetwork.PeerStatus peer) {
        if (peer.lastHeardNanos() == Long.MIN_VALUE) {
            return null;
        }
        return TimeUnit.NANOSECONDS.toMillis(context.ticker().nanos() - peer.lastHeardNanos());
    }
}
