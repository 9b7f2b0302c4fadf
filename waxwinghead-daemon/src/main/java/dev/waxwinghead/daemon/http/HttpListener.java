package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;

/**
 * Listens for HTTP on one address.
 *
 * <p>A handler may return before the exchange is finished and finish it on another thread. A failure that a handler
 * throws is answered as JSON.
 */
public final class HttpListener implements AutoCloseable {
    private static final int BACKLOG = 1_024;

    private final HttpServer server;

    private HttpListener(HttpServer server) {
        this.server = server;
    }

    /**
     * Opens the address. Requests are served from {@link #start} on.
     *
     * @param address the address to listen on
     * @param executor runs the handlers
     * @return the listener, never null
     * @throws WaxwingheadException if the address can't be opened
     */
    public static HttpListener open(InetSocketAddress address, Executor executor) {
        try {
            HttpServer server = HttpServer.create(address, BACKLOG);
            server.setExecutor(executor);
            return new HttpListener(server);
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "can't listen on " + address + ": " + e.getMessage(),
                    "choose a free port of this host",
                    e);
        }
    }

    /**
     * Registers the handler of all paths that start with a prefix. The longest prefix wins.
     *
     * @param prefix the start of the path
     * @param handler the handler
     */
    public void route(String prefix, HttpHandler handler) {
        server.createContext(prefix, exchange -> handle(exchange, handler));
    }

    /** Starts serving. */
    public void start() {
        server.start();
    }

    /**
     * Returns the address it listens on.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private static void handle(HttpExchange exchange, HttpHandler handler) {
        try {
            handler.handle(exchange);
        } catch (IOException | RuntimeException e) {
            JsonExchange.fail(exchange, e);
        }
    }
}
