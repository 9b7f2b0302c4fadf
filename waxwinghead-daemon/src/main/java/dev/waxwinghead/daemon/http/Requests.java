package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Checks and extracts parts of HTTP requests. */
public final class Requests {
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
