package dev.waxwinghead.daemon.callers;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream of the service {@code quotes} that counts the requests it runs and announces itself to an entry host. */
final class StubUpstream implements AutoCloseable {
    private static final HttpClient CLIENT = HttpClient.newHttpClient();

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer;
    private final ScheduledFuture<?> announcing;
    private final String id;
    private final String dataCentre;
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger maxRunning = new AtomicInteger();
    private final Map<String, Integer> runsByKey = new ConcurrentHashMap<>();
    private volatile TestHost host;
    private volatile String address;
    private volatile String state = "serving";
    private volatile boolean refusing;

    private StubUpstream(
            TestHost host, String id, String dataCentre, int port, ScheduledExecutorService timer, HttpHandler handler)
            throws IOException {
        this.timer = timer;
        this.host = host;
        this.id = id;
        this.dataCentre = dataCentre;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        server.setExecutor(threads);
        server.createContext("/", exchange -> run(exchange, handler));
        server.start();
        address = "127.0.0.1:" + (port == 0 ? server.getAddress().getPort() : port);
        if (host == null) {
            announcing = timer.schedule(() -> {}, 0, TimeUnit.MILLISECONDS);
            return;
        }
        announce();
        announcing = timer.scheduleAtFixedRate(this::announceIgnoringFailures, 400, 400, TimeUnit.MILLISECONDS);
    }

    static StubUpstream start(TestHost host, String id, HttpHandler handler) throws IOException {
        return new StubUpstream(host, id, host.dataCentre().value(), 0, newTimer(), handler);
    }

    /** Starts an upstream that announces itself at the intervals of a clock that the test moves. */
    static StubUpstream start(TestHost host, String id, ManualClock clock, HttpHandler handler) throws IOException {
        return new StubUpstream(host, id, host.dataCentre().value(), 0, clock.timer(), handler);
    }

    private static ScheduledExecutorService newTimer() {
        return Executors.newScheduledThreadPool(1);
    }

    /** Announces a different listener of the loopback address, such as a raw socket or a relay, under the id. */
    static StubUpstream startAt(TestHost host, String id, int port) throws IOException {
        return new StubUpstream(host, id, host.dataCentre().value(), port, newTimer(), exchange -> {});
    }

    /** Announces a different listener at the intervals of a clock that the test moves. */
    static StubUpstream startAt(TestHost host, String id, int port, ManualClock clock) throws IOException {
        return new StubUpstream(host, id, host.dataCentre().value(), port, clock.timer(), exchange -> {});
    }

    /** Starts an upstream that serves requests without announcing itself. */
    static StubUpstream unannounced(HttpHandler handler) throws IOException {
        return new StubUpstream(null, "", "", 0, newTimer(), handler);
    }

    /** Answers with the given status and text. */
    static void reply(HttpExchange exchange, int status, String body) throws IOException {
        try (exchange) {
            byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    int runs() {
        return runs.get();
    }

    /**
     * Returns the number of requests that ran under a name.
     *
     * @param name the request key, or the path without its first slash for requests without a key
     */
    int runs(String name) {
        return runsByKey.getOrDefault(name, 0);
    }

    int maxRunning() {
        return maxRunning.get();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void announceTo(TestHost newHost) {
        host = newHost;
    }

    void refuseAll() {
        refusing = true;
    }

    void acceptAll() {
        refusing = false;
    }

    void leave() throws IOException {
        state = "leaving";
        announce();
    }

    /** Stops announcing the upstream, which continues to serve requests. */
    void stopAnnouncing() {
        announcing.cancel(false);
    }

    @Override
    public void close() {
        stopAnnouncing();
        timer.shutdownNow();
        server.stop(0);
        threads.shutdownNow();
    }

    private void run(HttpExchange exchange, HttpHandler handler) throws IOException {
        exchange.getRequestBody().readAllBytes();
        if (refusing) {
            exchange.getResponseHeaders().set("Waxwinghead-Outcome", "not-run");
            reply(exchange, 503, "full");
            return;
        }
        runs.incrementAndGet();
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        String name = key == null ? exchange.getRequestURI().getPath().substring(1) : key;
        runsByKey.merge(name, 1, Integer::sum);
        handler.handle(exchange);
    }

    /** Counts an action as the work of a request. Answers are sent after it, since the next request may follow them. */
    void work(Runnable action) {
        maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
        try {
            action.run();
        } finally {
            running.decrementAndGet();
        }
    }

    private void announceIgnoringFailures() {
        try {
            announce();
        } catch (IOException e) {
            // The entry host is closed; a later announcement may go to another one.
        }
    }

    private void announce() throws IOException {
        String body = "{\"upstream\": \"" + id + "\", \"service\": \"quotes\", \"address\": \"" + address
                + "\", \"dataCentre\": \"" + dataCentre + "\", \"worker\": \"w1\", \"slots\": 8, \"connections\": 64,"
                + " \"state\": \"" + state + "\"}";
        HttpRequest request = HttpRequest.newBuilder(host.announceUri())
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != 200) {
                throw new IOException(response.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
