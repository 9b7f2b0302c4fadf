package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Takes requests apart. */
public final class Requests {
    private Requests() {}

    /**
     * Checks the method of a request.
     *
     * @param exchange the exchange
     * @param method the only method allowed
     * @throws WaxwingheadException if the request has another
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
     * Returns the parts of the path after a prefix.
     *
     * @param exchange the exchange
     * @param prefix the start of the path
     * @return the parts between slashes, without empty ones
     */
    public static List<String> pathAfter(HttpExchange exchange, String prefix) {
        String rest = exchange.getRequestURI().getPath().substring(prefix.length());
        return Arrays.stream(rest.split("/")).filter(part -> !part.isEmpty()).toList();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param exchange the exchange
     * @param name the parameter's name
     * @return its first value, empty if it is absent
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
