package dev.waxwinghead.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stub of an entry host that answers each path with a configured reply and records the request bodies. */
final class StubOperatorHost implements AutoCloseable {
    private final HttpServer server;
    private final Map<String, Reply> replies = new ConcurrentHashMap<>();
    private final List<String> bodies = new CopyOnWriteArrayList<>();

    private StubOperatorHost(HttpServer server) {
        this.server = server;
    }

    static StubOperatorHost open() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        StubOperatorHost host = new StubOperatorHost(server);
        server.createContext("/", host::handle);
        server.start();
        return host;
    }

    String port() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    StubOperatorHost reply(String pathAndQuery, int status, String body) {
        replies.put(pathAndQuery, new Reply(status, body));
        return this;
    }

    List<String> bodies() {
        return bodies;
    }

    private void handle(HttpExchange exchange) throws IOException {
        bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        Reply reply = replies.getOrDefault(
                exchange.getRequestURI().toString(),
                new Reply(
                        404, "{\"error\": \"not-found\", \"message\": \"no such path; none\", \"remedy\": \"none\"}"));
        if (reply.status == 0) {
            throw new IOException("connection aborted by the test");
        }
        try (exchange) {
            byte[] body = reply.body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(reply.status, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }

    /** A configured reply; status 0 aborts the connection. */
    private record Reply(int status, String body) {}
}
