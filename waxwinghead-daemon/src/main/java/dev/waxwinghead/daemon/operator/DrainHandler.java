package dev.waxwinghead.daemon.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.Requests;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Handles {@code POST /v1/drain}. */
final class DrainHandler implements HttpHandler {
    private final Map<DrainKind, Drainer> drainers;
    private final DataCentreDrains dataCentres;
    private final String self;

    DrainHandler(Map<DrainKind, Drainer> drainers, DataCentreDrains dataCentres, String self) {
        this.drainers = Map.copyOf(drainers);
        this.dataCentres = dataCentres;
        this.self = self;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Requests.requireOrder(exchange);
        DrainRequest request = JsonExchange.read(exchange, DrainRequest.class);
        request.validate();
        if (request.dataCentre != null) {
            JsonExchange.respondWhenComplete(exchange, drainDataCentre(request));
            return;
        }
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

    private CompletableFuture<?> drainDataCentre(DrainRequest request) {
        if (Boolean.TRUE.equals(request.dryRun)) {
            return dataCentres.forecastDrain(request.dataCentre);
        }
        return dataCentres
                .drainDataCentre(request.changeId, request.dataCentre)
                .thenApply(index -> Map.of("draining", request.dataCentre, "index", index));
    }

    /**
     * Represents the body of a drain request, which names exactly one of a worker, an upstream, a data centre or this
     * host.
     */
    record DrainRequest(
            @JsonProperty("changeId") ChangeId changeId,
            @JsonProperty("worker") String worker,
            @JsonProperty("upstream") String upstream,
            @JsonProperty("host") Boolean host,
            @JsonProperty("dataCentre") DataCentreId dataCentre,
            @JsonProperty("dryRun") Boolean dryRun) {
        private boolean drainsHost() {
            return Boolean.TRUE.equals(host);
        }

        void validate() {
            int targets = (worker == null ? 0 : 1)
                    + (upstream == null ? 0 : 1)
                    + (drainsHost() ? 1 : 0)
                    + (dataCentre == null ? 0 : 1);
            if (targets != 1 || changeId == null) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "the drain request names " + targets + " targets"
                                + (changeId == null ? " and no changeId" : ""),
                        "give a changeId and one of worker, upstream, dataCentre or host");
            }
            if (Boolean.TRUE.equals(dryRun) && dataCentre == null) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "dryRun is true for a target that is no data centre",
                        "leave out dryRun, or give a dataCentre");
            }
        }

        DrainKind kind() {
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
