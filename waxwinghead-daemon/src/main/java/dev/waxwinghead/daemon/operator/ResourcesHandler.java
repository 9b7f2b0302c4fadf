package dev.waxwinghead.daemon.operator;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.configuration.ConfigurationView;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.Requests;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Handles reads of the configuration.
 *
 * <p>A read is first confirmed by a majority. With {@code ?stale=allowed} the local configuration is returned without
 * confirmation, and the response marks it as not current.
 */
final class ResourcesHandler implements HttpHandler {
    /** The path for reading all entries. */
    static final String ALL_PREFIX = "/v1/configuration";

    /** The path for reading entries of one kind. */
    static final String KIND_PREFIX = "/v1/resources";

    /** The maximum time for the confirmation by a majority. */
    private static final Duration BARRIER_TIMEOUT = Duration.ofSeconds(2);

    private final SharedState sharedState;
    private final ConfigurationView view;
    private final Ticker ticker;

    ResourcesHandler(SharedState sharedState, ConfigurationView view, Ticker ticker) {
        this.sharedState = sharedState;
        this.view = view;
        this.ticker = ticker;
    }

    @Override
    public void handle(HttpExchange exchange) {
        Requests.requireMethod(exchange, "GET");
        Predicate<ManifestKey> wanted = wanted(exchange);
        boolean staleAllowed =
                Requests.parameter(exchange, "stale").filter("allowed"::equals).isPresent();
        if (staleAllowed) {
            respond(exchange, wanted, false);
            return;
        }
        JsonExchange.handleWhenComplete(
                exchange,
                sharedState.readBarrier(Deadline.after(BARRIER_TIMEOUT, ticker)),
                index -> respond(exchange, wanted, true));
    }

    private static Predicate<ManifestKey> wanted(HttpExchange exchange) {
        String path = exchange.getRequestURI().getPath();
        if (path.startsWith(ALL_PREFIX)) {
            return key -> true;
        }
        List<String> parts = Requests.pathSegmentsAfter(exchange, KIND_PREFIX);
        if (parts.isEmpty() || parts.size() > 2) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, path + " does not name a resource", "use " + KIND_PREFIX + "/kind/name");
        }
        ManifestKind kind = ManifestKind.ofText(parts.get(0));
        return parts.size() == 1 ? key -> key.kind() == kind : ManifestKey.of(kind, parts.get(1))::equals;
    }

    private void respond(HttpExchange exchange, Predicate<ManifestKey> wanted, boolean current) {
        Configuration configuration = view.current();
        List<Map<String, Object>> entries = configuration.entries().values().stream()
                .filter(entry -> wanted.test(entry.manifest().key()))
                .map(ResourcesHandler::describe)
                .toList();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("revision", configuration.revision());
        body.put("current", current);
        body.put("entries", entries);
        JsonExchange.respond(exchange, 200, body);
    }

    private static Map<String, Object> describe(Configuration.Entry entry) {
        Manifest manifest = entry.manifest();
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("key", manifest.key().toString());
        body.put("revision", entry.revision());
        body.put("manifest", manifest);
        return body;
    }
}
