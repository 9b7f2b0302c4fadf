package dev.waxwinghead.testkit.upstream;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Maps the first word of a path to what an upstream does. */
final class Behaviours {
    private static final int SLOW_PARTS = 10;

    private final KeyedRuns runs;
    private final CountDownLatch feedsEnd;

    private Behaviours(KeyedRuns runs, CountDownLatch feedsEnd) {
        this.runs = runs;
        this.feedsEnd = feedsEnd;
    }

    /**
     * Returns the behaviours of one upstream.
     *
     * @param runs counts keyed requests
     * @param feedsEnd open feeds end once it is at zero
     */
    static Map<String, Behaviour> create(KeyedRuns runs, CountDownLatch feedsEnd) {
        Behaviours behaviours = new Behaviours(runs, feedsEnd);
        Map<String, Behaviour> byWord = new HashMap<>();
        byWord.put("echo", Behaviours::echo);
        byWord.put("delay", Behaviours::delay);
        byWord.put("bytes", Behaviours::bytes);
        byWord.put("slow", Behaviours::slow);
        byWord.put("break", Behaviours::breakOff);
        byWord.put("break-chunked", Behaviours::breakOffChunked);
        byWord.put("silent", Behaviours::silent);
        byWord.put("status", Behaviours::status);
        byWord.put("feed", behaviours::feed);
        byWord.put("charge", behaviours::charge);
        byWord.put("runs", behaviours::runs);
        return byWord;
    }

    /** {@code /echo}: the request's body, or its query if it has none. */
    private static void echo(HttpExchange exchange, RequestPath path) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String query = exchange.getRequestURI().getRawQuery();
        if (body.length == 0 && query != null) {
            Answers.send(exchange, 200, query);
        } else {
            Answers.send(exchange, 200, body);
        }
    }

    /** {@code /delay/MILLIS}: like {@code /echo}, later. */
    private static void delay(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(path.number(1));
        echo(exchange, path);
    }

    /** {@code /bytes/SIZE}: a body of that size. */
    private static void bytes(HttpExchange exchange, RequestPath path) throws IOException {
        long size = path.number(1);
        Answers.begin(exchange, size);
        Answers.write(exchange, 0, size);
        exchange.close();
    }

    /** {@code /slow/SIZE/MILLIS}: a body of that size, in ten parts over that time. */
    private static void slow(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        long size = path.number(1);
        long pauseMillis = path.number(2) / SLOW_PARTS;
        Answers.begin(exchange, size);
        for (int part = 0; part < SLOW_PARTS; part++) {
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            Answers.write(exchange, size * part / SLOW_PARTS, size * (part + 1) / SLOW_PARTS);
        }
        exchange.close();
    }

    /** {@code /break/SIZE}: announces twice that size, sends that much and breaks off. */
    private static void breakOff(HttpExchange exchange, RequestPath path) throws IOException {
        long size = path.number(1);
        Answers.begin(exchange, 2 * size + 1);
        Answers.write(exchange, 0, size);
        throw new IOException("told to break off");
    }

    /** {@code /break-chunked/SIZE}: sends that much in chunks and breaks off before the last chunk. */
    private static void breakOffChunked(HttpExchange exchange, RequestPath path) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        Answers.write(exchange, 0, path.number(1));
        throw new IOException("told to break off");
    }

    /** {@code /silent/MILLIS}: no answer for that long, then breaks off. */
    private static void silent(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(path.number(1, TimeUnit.HOURS.toMillis(1)));
        throw new IOException("told to stay silent");
    }

    /** {@code /status/CODE}: an answer with that status. */
    private static void status(HttpExchange exchange, RequestPath path) throws IOException {
        Answers.send(exchange, (int) path.number(1), "status " + path.number(1) + "\n");
    }

    /** {@code /feed/MILLIS}: numbered events at that interval until the upstream leaves. */
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
        } while (!feedsEnd.await(intervalMillis, TimeUnit.MILLISECONDS));
        exchange.close();
    }

    /** {@code /charge/MILLIS}: runs once for the key in the header, which takes that long. */
    private void charge(HttpExchange exchange, RequestPath path) throws IOException, InterruptedException {
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (key == null) {
            Answers.send(exchange, 400, "the header Idempotency-Key is missing; send it\n");
            return;
        }
        long count = runs.add(key);
        TimeUnit.MILLISECONDS.sleep(path.number(1, 0));
        Answers.send(
                exchange, 200, "{\"key\":\"" + key + "\",\"run\":" + count + ",\"bodyBytes\":" + body.length + "}");
    }

    /** {@code /runs/KEY}: how often this process has run the key. */
    private void runs(HttpExchange exchange, RequestPath path) throws IOException {
        Answers.send(exchange, 200, Long.toString(runs.count(path.text(1))));
    }
}
