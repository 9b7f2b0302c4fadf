package dev.waxwinghead.testkit.upstream;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** Serves the requests whose path starts with the name of this behaviour. Implementations must be thread-safe. */
@FunctionalInterface
interface Behaviour {
    /**
     * Serves one request. An {@link IOException} aborts the connection.
     *
     * @param exchange the HTTP exchange
     * @param path the path of the request
     */
    void serve(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException;
}
