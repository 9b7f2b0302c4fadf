package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/**
 * Listens for HTTP requests on one address.
 *
 * <p>A handler may return before the exchange is finished and finish it on another thread. An exception or error thrown
 * by a handler is answered as a JSON error.
 */
public final class HttpListener implements AutoCloseable {
    private static final int BACKLOG = 1_024;

    private final HttpServer server;
    private final OpenExchanges exchanges;

    private HttpListener(HttpServer server, OpenExchanges exchanges) {
        this.server = server;
        this.exchanges = exchanges;
    }

    /**
     * Binds the address. Requests are served once {@link #start} has been called.
     *
     * @param address the address to listen on
     * @param executor the executor that runs the handlers
     * @return the listener, never null
     * @throws WaxwingheadException if the address can't be bound
     */
    public static HttpListener open(InetSocketAddress address, Executor executor) {
        return open(address, executor, Ticker.system()::nanos);
    }

    /**
     * Binds the address as {@link #open(InetSocketAddress, Executor)} does.
     *
     * @param address the address to listen on
     * @param executor the executor that runs the handlers
     * @param earliestArrival returns the earliest time at which a request can have arrived that is read now, in
     *     nanoseconds of the system's ticker
     * @return the listener, never null
     * @throws WaxwingheadException if the address can't be bound
     */
    public static HttpListener open(InetSocketAddress address, Executor executor, LongSupplier earliestArrival) {
        try {
            HttpServer server = HttpServer.create(address, BACKLOG);
            OpenExchanges exchanges = new OpenExchanges(earliestArrival);
            server.setExecutor(exchanges.counting(executor));
            return new HttpListener(server, exchanges);
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "can't listen on " + address + ": " + e.getMessage(),
                    "choose a free port of this host",
                    e);
        }
    }

    /**
     * Registers the handler of all paths that start with a prefix. The longest matching prefix takes precedence.
     *
     * @param prefix the prefix of the path
     * @param handler the handler
     */
    public void route(String prefix, HttpHandler handler) {
        server.createContext(prefix, exchange -> handle(exchanges.track(exchange), handler));
    }

    /**
     * Returns the earliest time at which a request can have arrived. It is earlier than the time of the call if the
     * request had to wait for a thread, or if this process stood still.
     *
     * @param exchange the exchange, as passed to a handler
     * @return the time in nanoseconds of the system's ticker
     */
    public static long earliestArrivalNanos(HttpExchange exchange) {
        return ((TrackedExchange) exchange).earliestArrivalNanos();
    }

    /** Starts serving. */
    public void start() {
        server.start();
    }

    /**
     * Returns the address that this listener is bound to.
     *
     * @return the address with the actual port, never null
     */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /**
     * Waits until no request that has been read waits for its response. To be called before the listener is closed,
     * which ends all connections. New requests are still served meanwhile; under constant load, those of the last 100
     * ms may have no complete response yet.
     *
     * @param deadline the time at which to give up waiting
     * @param ticker the clock of the deadline
     * @return false if the deadline passed or the thread was interrupted before
     */
    public boolean awaitResponses(Deadline deadline, Ticker ticker) {
        int open = exchanges.awaitNoneWaiting(deadline, ticker);
        if (open > 0) {
            Event.of("responses-not-complete")
                    .with("address", address())
                    .with("open", open)
                    .write();
        }
        return open == 0;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private static void handle(HttpExchange exchange, HttpHandler handler) {
        try {
            handler.handle(exchange);
        } catch (WaxwingheadException | IOException e) {
            JsonExchange.fail(exchange, e);
        } catch (RuntimeException | Error e) {
            Event.of("request-handler-failed")
                    .with("path", exchange.getRequestURI())
                    .with("failure", e)
                    .write();
            JsonExchange.fail(exchange, e);
        }
    }
}
