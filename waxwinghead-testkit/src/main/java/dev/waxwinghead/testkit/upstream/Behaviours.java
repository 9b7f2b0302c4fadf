package dev.waxwinghead.testkit.upstream;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Provides the behaviours of an {@link Upstream} by the first segment of the request path. */
final class Behaviours {
    private static final int SLOW_PARTS = 10;

    private final KeyedRunCounter runs;
    private final CountDownLatch feedsClosing;

    private Behaviours(KeyedRunCounter runs, CountDownLatch feedsClosing) {
        this.runs = runs;
        this.feedsClosing = feedsClosing;
    }

    /**
     * Returns the behaviours of one upstream by name.
     *
     * @param runs the counter of keyed requests
     * @param feedsClosing the latch that ends open feeds when it reaches zero
     */
    static Map<String, Behaviour> create(KeyedRunCounter runs, CountDownLatch feedsClosing) {
        Behaviours behaviours = new Behaviours(runs, feedsClosing);
        Map<String, Behaviour> byName = new HashMap<>();
        byName.put("echo", Behaviours::echo);
        byName.put("delay", Behaviours::delay);
        byName.put("bytes", Behaviours::bytes);
        byName.put("slow", Behaviours::slow);
        byName.put("break", Behaviours::abort);
        byName.put("break-chunked", Behaviours::abortChunked);
        byName.put("silent", Behaviours::silent);
        byName.put("status", Behaviours::status);
        byName.put("feed", behaviours::feed);
        byName.put("charge", behaviours::charge);
        byName.put("runs", behaviours::runs);
        return byName;
    }

    /** {@code /echo}: returns the body of the request, or the query if the body is empty. */
    private static void echo(HttpExchange exchange, RequestPath path) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String query = exchange.getRequestURI().getRawQuery();
        if (body.length == 0 && query != null) {
            Responses.send(exchange, 200, query);
        } else {
            Responses.send(exchange, 200, body);
        }
    }

    /** {@code /delay/MILLIS}: like {@code /echo}, after a delay. */
    private static void delay(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(path.number(1));
        echo(exchange, path);
    }

    /** {@code /bytes/SIZE}: returns a generated body of the given size in bytes. */
    private static void bytes(HttpExchange exchange, RequestPath path) throws IOException {
        long size = path.number(1);
        Responses.sendGeneratedHeaders(exchange, size);
        Responses.writeGenerated(exchange, 0, size);
        exchange.close();
    }

    /** {@code /slow/SIZE/MILLIS}: returns a generated body in ten parts, spread evenly over the given time. */
    private static void slow(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        long size = path.number(1);
        long pauseMillis = path.number(2) / SLOW_PARTS;
        Responses.sendGeneratedHeaders(exchange, size);
        for (int part = 0; part < SLOW_PARTS; part++) {
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            Responses.writeGenerated(exchange, size * part / SLOW_PARTS, size * (part + 1) / SLOW_PARTS);
        }
        exchange.close();
    }

    /**
     * {@code /break/SIZE}: announces more than twice the given size, sends a body of that size and aborts the
     * connection.
     */
    private static void abort(HttpExchange exchange, RequestPath path) throws IOException {
        long size = path.number(1);
        Responses.sendGeneratedHeaders(exchange, 2 * size + 1);
        Responses.writeGenerated(exchange, 0, size);
        throw new IOException("connection aborted as requested");
    }

    /** {@code /break-chunked/SIZE}: sends the given number of bytes in chunks and aborts before the last chunk. */
    private static void abortChunked(HttpExchange exchange, RequestPath path) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        Responses.writeGenerated(exchange, 0, path.number(1));
        throw new IOException("connection aborted as requested");
    }

    /** {@code /silent/MILLIS}: sends nothing for the given time, then aborts the connection. */
    private static void silent(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(path.number(1, TimeUnit.HOURS.toMillis(1)));
        throw new IOException("connection aborted after a silent period as requested");
    }

    /** {@code /status/CODE}: returns a response with the given status. */
    private static void status(HttpExchange exchange, RequestPath path) throws IOException {
        Responses.send(exchange, (int) path.number(1), "status " + path.number(1) + "\n");
    }

    /** {@code /feed/MILLIS}: sends numbered events at the given interval until the upstream leaves. */
    private void feed(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        long intervalMillis = Math.max(1, path.number(1));
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        long number = 0;
        do {
            String event = "id: " + number + "\ndata: " + number + "\n\n";
            exchange.getResponseBody().write(event.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
            number++;
        } while (!feedsClosing.await(intervalMillis, TimeUnit.MILLISECONDS));
        exchange.close();
    }

    /** {@code /charge/MILLIS}: counts a run of the key in the header, which takes the given time. */
    private void charge(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (key == null) {
            Responses.send(exchange, 400, "the header Idempotency-Key is missing; send it\n");
            return;
        }
        long count = runs.increment(key);
        TimeUnit.MILLISECONDS.sleep(path.number(1, 0));
        Responses.send(
                exchange, 200, "{\"key\":\"" + key + "\",\"run\":" + count + ",\"bodyBytes\":" + body.length + "}");
    }

    /** {@code /runs/KEY}: returns the number of runs of the key on this upstream. */
    private void runs(HttpExchange exchange, RequestPath path) throws IOException {
        Responses.send(exchange, 200, Long.toString(runs.count(path.text(1))));
    }
}
