package dev.waxwinghead.testkit.upstream;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** Serves the requests whose path starts with one word. Thread-safe. */
@FunctionalInterface
interface Behaviour {
    /**
     * Serves one request. A thrown {@link IOException} breaks the connection off.
     *
     * @param exchange the exchange
     * @param path the request's path
     */
    void serve(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException;
}
