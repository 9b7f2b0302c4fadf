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

/** Handles {@code POST /v1/undrain}. */
final class UndrainHandler implements HttpHandler {
    private final DataCentreDrains dataCentres;

    UndrainHandler(DataCentreDrains dataCentres) {
        this.dataCentres = dataCentres;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Requests.requireOrder(exchange);
        UndrainRequest request = JsonExchange.read(exchange, UndrainRequest.class);
        if (request.changeId == null || request.dataCentre == null) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    (request.changeId == null ? "changeId" : "dataCentre") + " is missing",
                    "give a changeId and a dataCentre; other targets can't be undrained");
        }
        JsonExchange.respondWhenComplete(
                exchange,
                dataCentres
                        .undrainDataCentre(request.changeId, request.dataCentre)
                        .thenApply(index -> Map.of("undrained", request.dataCentre, "index", index)));
    }

    /** Represents the body of a request to revert a drain. */
    record UndrainRequest(
            @JsonProperty("changeId") ChangeId changeId,
            @JsonProperty("dataCentre") DataCentreId dataCentre) {}
}
