package dev.waxwinghead.daemon.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.Requests;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import java.io.IOException;
import java.util.Map;

/** Handles {@code POST /v1/drain}. */
final class DrainHandler implements HttpHandler {
    private final Map<DrainKind, Drainer> drainers;
    private final String self;

    DrainHandler(Map<DrainKind, Drainer> drainers, String self) {
        this.drainers = Map.copyOf(drainers);
        this.self = self;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Requests.requireMethod(exchange, "POST");
        DrainRequest request = JsonExchange.read(exchange, DrainRequest.class);
        DrainKind kind = request.kind();
        String name = request.name(self);
        Drainer drainer = drainers.get(kind);
        if (drainer == null) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "this entry host can't drain targets of kind " + kind,
                    "ask another entry host");
        }
        JsonExchange.respondWhenComplete(
                exchange, drainer.drain(request.changeId, name).thenApply(done -> Map.of("draining", name)));
    }

    /** Represents the body of a drain request, which names exactly one of a worker, an upstream or this host. */
    record DrainRequest(
            @JsonProperty("changeId") ChangeId changeId,
            @JsonProperty("worker") String worker,
            @JsonProperty("upstream") String upstream,
            @JsonProperty("host") Boolean host) {
        private boolean drainsHost() {
            return Boolean.TRUE.equals(host);
        }

        DrainKind kind() {
            int targets = (worker == null ? 0 : 1) + (upstream == null ? 0 : 1) + (drainsHost() ? 1 : 0);
            if (targets != 1 || changeId == null) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "the drain request names " + targets + " targets"
                                + (changeId == null ? " and no changeId" : ""),
                        "give a changeId and one of worker, upstream or host");
            }
            if (drainsHost()) {
                return DrainKind.HOST;
            }
            return worker != null ? DrainKind.WORKER : DrainKind.UPSTREAM;
        }

        String name(String self) {
            if (drainsHost()) {
                return self;
            }
            return worker != null ? worker : upstream;
        }
    }
}
