package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Ticker;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Checks and extracts parts of HTTP requests. */
public final class Requests {
    /** How long the command line waits for an answer before it sends a request to another host. */
    private static final Duration SENDER_TIMEOUT = Duration.ofSeconds(6);

    private Requests() {}

    /**
     * Checks the method of a request.
     *
     * @param exchange the exchange
     * @param method the only allowed method
     * @throws WaxwingheadException if the request has a different method
     */
    public static void requireMethod(HttpExchange exchange, String method) {
        if (!exchange.getRequestMethod().equals(method)) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    exchange.getRequestMethod() + " is not allowed on "
                            + exchange.getRequestURI().getPath(),
                    "use " + method);
        }
    }

    /**
     * Checks that a request may change something: that it is a POST, and that its sender can still be waiting for the
     * answer. A sender that has given up may have sent the opposite request since.
     *
     * @param exchange the exchange, as passed to a handler by a listener
     * @throws WaxwingheadException if the request has a different method, or has waited too long to be read
     */
    public static void requireOrder(HttpExchange exchange) {
        requireMethod(exchange, "POST");
        long waitedNanos = Ticker.system().nanos() - HttpListener.earliestArrivalNanos(exchange);
        if (waitedNanos >= SENDER_TIMEOUT.toNanos()) {
            Event.of("order-expired")
                    .with("path", exchange.getRequestURI())
                    .with("waitedMillis", TimeUnit.NANOSECONDS.toMillis(waitedNanos))
                    .write();
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "the request may have waited " + TimeUnit.NANOSECONDS.toMillis(waitedNanos)
                            + " ms before it was read, the limit is " + SENDER_TIMEOUT.toMillis() + " ms",
                    "the request had no effect; send it again");
        }
    }

    /**
     * Returns the segments of the path after a prefix.
     *
     * @param exchange the exchange
     * @param prefix the prefix of the path
     * @return the non-empty segments between slashes, never null
     */
    public static List<String> pathSegmentsAfter(HttpExchange exchange, String prefix) {
        String rest = exchange.getRequestURI().getPath().substring(prefix.length());
        return Arrays.stream(rest.split("/"))
                .filter(segment -> !segment.isEmpty())
                .toList();
    }

    /**
     * Returns the value of a query parameter.
     *
     * @param exchange the exchange
     * @param name the name of the parameter
     * @return the first decoded value, empty if the parameter is absent
     */
    public static Optional<String> parameter(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null) {
            return Optional.empty();
        }
        return Arrays.stream(query.split("&"))
                .filter(pair -> pair.startsWith(name + "="))
                .map(pair -> URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8))
                .findFirst();
    }
}
