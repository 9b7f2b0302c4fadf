package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.http.JsonExchange;
import dev.waxwinghead.daemon.http.RequestBodies;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.RequestKey;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.TenantId;
import dev.waxwinghead.model.id.TrafficClass;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Represents a caller's request including its complete body. Immutable. */
final class CallRequest {
    static final String PREFIX = "/call/";

    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final long MAX_DEADLINE_MILLIS = 3_600_000;
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE");
    private static final Set<String> RESENT_BY_CLIENT = Set.of("GET", "HEAD");

    private final ServiceName service;
    private final TenantId tenant;
    private final TrafficClass trafficClass;
    private final CallKind kind;
    private final Optional<RequestKey> key;
    private final String method;
    private final String target;
    private final Map<String, List<String>> headers;
    private final byte[] body;
    private final long receivedAt;
    private final Deadline deadline;

    private CallRequest(HttpExchange exchange, long receivedAt) throws IOException {
        Headers requestHeaders = exchange.getRequestHeaders();
        String[] parts = splitPath(exchange.getRequestURI());
        this.receivedAt = receivedAt;
        this.method = exchange.getRequestMethod();
        this.service = ServiceName.of(parts[0]);
        this.target = parts[1];
        this.tenant = TenantId.of(
                requestHeaders.getFirst(HeaderRules.TENANT) == null
                        ? "default"
                        : requestHeaders.getFirst(HeaderRules.TENANT));
        this.trafficClass = TrafficClass.of(
                requestHeaders.getFirst(HeaderRules.CLASS) == null
                        ? "default"
                        : requestHeaders.getFirst(HeaderRules.CLASS));
        this.key = Optional.ofNullable(requestHeaders.getFirst(HeaderRules.KEY)).map(RequestKey::of);
        this.kind = CallKind.of(requestHeaders.getFirst(HeaderRules.KIND), key.isPresent(), method);
        this.deadline = new Deadline(receivedAt
                + Duration.ofMillis(deadlineMillis(requestHeaders.getFirst(HeaderRules.DEADLINE)))
                        .toNanos());
        checkMethod();
        checkKey();
        this.headers = HeaderRules.toUpstream(requestHeaders);
        this.body = RequestBodies.read(exchange, JsonExchange.MAX_BODY_BYTES, "split it into smaller requests");
    }

    /**
     * Reads the request of an exchange including its complete body.
     *
     * @throws IOException if the body is truncated
     * @throws WaxwingheadException if a header is malformed or the body is too large
     */
    static CallRequest read(HttpExchange exchange, Ticker ticker) throws IOException {
        return new CallRequest(exchange, ticker.nanos());
    }

    ServiceName service() {
        return service;
    }

    TenantId tenant() {
        return tenant;
    }

    TrafficClass trafficClass() {
        return trafficClass;
    }

    CallKind kind() {
        return kind;
    }

    Optional<RequestKey> key() {
        return key;
    }

    String method() {
        return method;
    }

    /** Returns the path and query that are sent to the upstream. */
    String target() {
        return target;
    }

    /** Returns the end-to-end headers that are forwarded to the upstream. */
    Map<String, List<String>> headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    /** Returns the time of arrival, in nanoseconds of the monotonic clock. */
    long receivedAt() {
        return receivedAt;
    }

    Deadline deadline() {
        return deadline;
    }

    private static String[] splitPath(URI uri) {
        String path = uri.getRawPath().substring(PREFIX.length());
        int slash = path.indexOf('/');
        String service = slash < 0 ? path : path.substring(0, slash);
        String rest = slash < 0 ? "/" : path.substring(slash);
        String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
        return new String[] {service, rest + query};
    }

    private static long deadlineMillis(String text) {
        if (text == null) {
            return DEFAULT_DEADLINE_MILLIS;
        }
        try {
            long millis = Long.parseLong(text.trim());
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            throw invalid("Waxwinghead-Deadline-Ms is '" + text + "'", "give milliseconds from 1 to 3600000");
        }
        throw invalid("Waxwinghead-Deadline-Ms is " + text, "give milliseconds from 1 to 3600000");
    }

    private void checkMethod() {
        if (!METHODS.contains(method)) {
            throw invalid(
                    "unsupported method " + method,
                    "use " + METHODS.stream().sorted().toList());
        }
    }

    private void checkKey() {
        if (kind == CallKind.KEYED && key.isEmpty()) {
            throw invalid("a keyed request without a key", "send the header Idempotency-Key");
        }
        if (kind == CallKind.KEYED && RESENT_BY_CLIENT.contains(method)) {
            throw invalid("unsupported method for a keyed request: " + method, "use POST, PUT, PATCH or DELETE");
        }
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
