package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Stub of an entry host that answers polls with configured commands and records polls and announcements. */
final class StubEntryHost implements AutoCloseable {
    static final String START_BATCH = """
            {"type": "start", "task": "job/nightly/0", "attempt": %d, "settings": {%s}, "checkpoint": %s,
             "resources": {"millicores": 500, "memoryBytes": 1000, "accelerators": 0}}""";
    static final String ACKNOWLEDGE = """
            {"type": "acknowledge", "task": "job/nightly/0", "attempt": 1}""";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long WAIT_SECONDS = 20;

    private final HttpServer server;
    private final List<String> commands = new ArrayList<>();
    private final BlockingQueue<JsonNode> polls = new LinkedBlockingQueue<>();
    private final BlockingQueue<JsonNode> announcements = new LinkedBlockingQueue<>();
    private long term = 1;
    private long leaseMillis = 5_000;

    private StubEntryHost(HttpServer server) {
        this.server = server;
    }

    static StubEntryHost open() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        StubEntryHost host = new StubEntryHost(server);
        server.createContext("/worker/v1/poll", host::poll);
        server.createContext("/upstream/v1/announce", host::announce);
        server.start();
        return host;
    }

    String port() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void answer(long term, long leaseMillis, String... commands) {
        this.term = term;
        this.leaseMillis = leaseMillis;
        this.commands.clear();
        this.commands.addAll(List.of(commands));
    }

    JsonNode awaitPoll(Predicate<JsonNode> filter) throws InterruptedException {
        return await(polls, filter);
    }

    JsonNode awaitAnnouncement(Predicate<JsonNode> filter) throws InterruptedException {
        return await(announcements, filter);
    }

    JsonNode awaitTask(String state) throws InterruptedException {
        return awaitPoll(poll -> poll.at("/tasks/0/state").asText().equals(state))
                .at("/tasks/0");
    }

    private static JsonNode await(BlockingQueue<JsonNode> queue, Predicate<JsonNode> filter)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (true) {
            JsonNode next = queue.poll(endNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            if (next == null) {
                throw new AssertionError("no matching message arrived within " + WAIT_SECONDS + " s");
            }
            if (filter.test(next)) {
                return next;
            }
        }
    }

    private void poll(HttpExchange exchange) throws IOException {
        polls.add(MAPPER.readTree(exchange.getRequestBody()));
        String answer;
        synchronized (this) {
            answer = "{\"schedulerTerm\": " + term + ", \"leaseMillis\": " + leaseMillis
                    + ", \"scheduler\": null, \"commands\": [" + String.join(",", commands) + "]}";
        }
        respond(exchange, answer);
    }

    private void announce(HttpExchange exchange) throws IOException {
        announcements.add(MAPPER.readTree(exchange.getRequestBody()));
        respond(exchange, "{\"leaseMillis\": 2500}");
    }

    private static void respond(HttpExchange exchange, String answer) throws IOException {
        try (exchange) {
            byte[] body = answer.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
