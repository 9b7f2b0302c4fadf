package dev.waxwinghead.daemon.operator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.daemon.configuration.ChangeResult;
import dev.waxwinghead.daemon.configuration.ConfigurationChange;
import dev.waxwinghead.daemon.configuration.ConfigurationService;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.Requests;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Handles {@code POST /v1/changes}. */
final class ChangesHandler implements HttpHandler {
    /** The maximum time for a change to be committed. */
    static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(5);

    private final ConfigurationService service;
    private final Ticker ticker;

    ChangesHandler(ConfigurationService service, Ticker ticker) {
        this.service = service;
        this.ticker = ticker;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Requests.requireOrder(exchange);
        ConfigurationChange change =
                JsonExchange.read(exchange, ChangeRequest.class).toChange();
        JsonExchange.handleWhenComplete(
                exchange,
                service.submit(change, Deadline.after(CHANGE_TIMEOUT, ticker)),
                result -> answer(exchange, result));
    }

    private static void answer(HttpExchange exchange, ChangeResult result) {
        switch (result.status()) {
            case ACCEPTED ->
                JsonExchange.respond(
                        exchange, 200, Map.of("revision", result.revision(), "replayed", result.replayed()));
            case CONFLICT -> conflict(exchange, result);
            case ID_REUSED ->
                JsonExchange.fail(
                        exchange,
                        WaxwingheadException.of(
                                ErrorKind.CONFLICT,
                                "the change id was already used with different content",
                                "send different content under a new change id"));
            case NOT_FOUND ->
                JsonExchange.fail(
                        exchange,
                        WaxwingheadException.of(
                                ErrorKind.NOT_FOUND,
                                result.detail() + " is not in force",
                                "remove it from the deletes; nothing was applied"));
        }
    }

    private static void conflict(HttpExchange exchange, ChangeResult result) {
        WaxwingheadException failure = WaxwingheadException.of(
                ErrorKind.CONFLICT,
                "revision " + result.revision() + " is in force, made by change " + result.detail(),
                "read the configuration again and send the change with that revision under a new change id");
        Map<String, Object> body = new LinkedHashMap<>(JsonExchange.errorBody(failure));
        body.put("revision", result.revision());
        body.put("winner", result.detail());
        body.put("replayed", result.replayed());
        JsonExchange.respond(exchange, failure.kind().httpStatus(), body);
    }

    /** Represents the body of a change. */
    record ChangeRequest(
            @JsonProperty("changeId") ChangeId changeId,
            @JsonProperty("expectedRevision") Long expectedRevision,
            @JsonProperty("manifests") String manifests,
            @JsonProperty("delete") List<String> delete) {
        ConfigurationChange toChange() {
            if (changeId == null) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT, "changeId is missing", "give an id, the same one for each resend");
            }
            List<Manifest> puts = manifests == null || manifests.isBlank() ? List.of() : Manifests.readYaml(manifests);
            List<ManifestKey> deletes = delete == null
                    ? List.of()
                    : delete.stream().map(ChangeRequest::key).toList();
            if (puts.isEmpty() && deletes.isEmpty()) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT, "the change is empty", "give manifests or keys to delete");
            }
            OptionalLong expected = expectedRevision == null ? OptionalLong.empty() : OptionalLong.of(expectedRevision);
            return new ConfigurationChange(changeId, expected, puts, deletes);
        }

        private static ManifestKey key(String text) {
            int slash = text.indexOf('/');
            if (slash < 0) {
                throw WaxwingheadException.of(
                        ErrorKind.INVALID_INPUT,
                        "'" + text + "' is not a key",
                        "give kind and name, such as Job/nightly");
            }
            return ManifestKey.of(ManifestKind.ofText(text.substring(0, slash)), text.substring(slash + 1));
        }
    }
}
