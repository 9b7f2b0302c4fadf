package dev.waxwinghead.testkit.upstream;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Serves HTTP on a free loopback port, with a behaviour selected by the path of each request.
 *
 * <p>A request that exceeds the slots or connections, or arrives without permission to run, is answered with 503 and
 * the header {@code Waxwinghead-Outcome: not-run}. Thread-safe.
 *
 * @since 0.1
 */
public final class Upstream implements AutoCloseable {
    private static final String FEED = "feed";
    private static final String RUNS = "runs";
    private static final int BACKLOG = 1_024;
    private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final long LATE_MILLIS = 3_000;

    private final UpstreamOptions options;
    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Semaphore slots;
    private final Semaphore connections;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final CountDownLatch feedsClosing = new CountDownLatch(1);
    private final Map<String, Behaviour> behaviours;
    private final Recorder serviceMicros = new Recorder(MAX_MICROS, 2);
    private volatile long leaveNanos;
    private volatile boolean leaving;

    private Upstream(UpstreamOptions options, HttpServer server) {
        this.options = options;
        this.server = server;
        this.slots = new Semaphore(options.slots());
        this.connections = new Semaphore(options.connections());
        this.behaviours =
                Behaviours.create(KeyedRunCounter.create(key -> options.events().accept("run", key)), feedsClosing);
    }

    /**
     * Opens a port and starts to serve.
     *
     * @param options the options, never null
     * @return the upstream, never null
     * @throws WaxwingheadException if no port can be opened
     */
    public static Upstream open(UpstreamOptions options) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            Upstream upstream = new Upstream(options, server);
            server.setExecutor(upstream.executor);
            server.createContext("/", upstream::handle);
            server.start();
            return upstream;
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE, "could not open a loopback port", "free some ports of this host", e);
        }
    }

    /**
     * Returns the id of this upstream.
     *
     * @return the id, never null
     */
    public String id() {
        return options.id();
    }

    /**
     * Returns the address on which this upstream listens.
     *
     * @return the address as {@code ip:port}, never null
     */
    public String address() {
        return server.getAddress().getAddress().getHostAddress() + ":"
                + server.getAddress().getPort();
    }

    /**
     * Returns the number of requests and feeds in flight.
     *
     * @return the number of requests and feeds
     */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns the 99th percentile of the service times since the last call of this method.
     *
     * @return the time in microseconds, 0 if no request was served
     */
    public long takeP99Micros() {
        Histogram interval = serviceMicros.getIntervalHistogram();
        return interval.getTotalCount() == 0 ? 0 : interval.getValueAtPercentile(99);
    }

    /** Ends all open feeds. Requests are still served until {@link #close}. */
    public void leave() {
        leaveNanos = System.nanoTime();
        leaving = true;
        feedsClosing.countDown();
    }

    private void handle(HttpExchange exchange) throws IOException {
        RequestPath path = RequestPath.from(exchange.getRequestURI());
        if (path.behaviour().equals(RUNS)) {
            serve(exchange, path);
            return;
        }
        reportLateRequest();
        boolean feed = path.behaviour().equals(FEED);
        if (!options.permitted().getAsBoolean() || !connections.tryAcquire()) {
            refuse(exchange);
            return;
        }
        try {
            if (!feed && !slots.tryAcquire()) {
                refuse(exchange);
                return;
            }
            try {
                serveMeasured(exchange, path);
            } finally {
                if (!feed) {
                    slots.release();
                }
            }
        } finally {
            connections.release();
        }
    }

    private void reportLateRequest() {
        if (leaving) {
            long millis = (System.nanoTime() - leaveNanos) / 1_000_000L;
            if (millis > LATE_MILLIS) {
                options.events().accept("late", Long.toString(millis));
            }
        }
    }

    private void serveMeasured(HttpExchange exchange, RequestPath path) throws IOException {
        inFlight.incrementAndGet();
        long startNanos = System.nanoTime();
        try {
            pause(options.noiseMicros().getAsLong());
            serve(exchange, path);
        } finally {
            if (!path.behaviour().equals(FEED)) {
                serviceMicros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - startNanos) / 1_000));
            }
            inFlight.decrementAndGet();
        }
    }

    private void serve(HttpExchange exchange, RequestPath path) throws IOException {
        exchange.getResponseHeaders().set("Upstream", options.id());
        Behaviour behaviour = behaviours.get(path.behaviour());
        if (behaviour == null) {
            Responses.send(exchange, 404, "no behaviour is named '" + path.behaviour() + "'\n");
            return;
        }
        try {
            behaviour.serve(exchange, path);
        } catch (WaxwingheadException e) {
            Responses.send(exchange, e.kind().httpStatus(), e.getMessage() + "\n");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the upstream is closing", e);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static void pause(long micros) throws IOException {
        if (micros <= 0) {
            return;
        }
        try {
            TimeUnit.MICROSECONDS.sleep(micros);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the upstream is closing", e);
        }
    }

    private static void refuse(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Waxwinghead-Outcome", "not-run");
        Responses.send(exchange, 503, "full\n");
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
