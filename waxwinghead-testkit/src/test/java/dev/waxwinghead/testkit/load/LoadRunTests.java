package dev.waxwinghead.testkit.load;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LoadRunTests {
    private HttpServer server;

    @AfterEach
    void stopServer() {
        server.stop(0);
    }

    private String serve(HttpHandler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/call/quotes/echo", handler);
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, String outcome, String text) throws IOException {
        try (exchange) {
            byte[] body = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Waxwinghead-Outcome", outcome);
            exchange.sendResponseHeaders(outcome.equals("answered") ? 200 : 503, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    private static LoadSummary run(double rate, String... hosts) throws InterruptedException {
        return LoadRun.execute(plan(rate, hosts));
    }

    private static LoadPlan plan(double rate, String... hosts) {
        return new LoadPlan(
                List.of(hosts),
                "quotes",
                "/echo?n={n}",
                "GET",
                0,
                "dealers",
                null,
                null,
                null,
                Duration.ofSeconds(5),
                rate,
                4,
                Duration.ofMillis(300));
    }

    @Test
    void reopensFeedThatHasEnded() throws Exception {
        String host = serve(exchange -> answer(exchange, "answered", "id: 0\ndata: 0\n\n"));

        LoadSummary summary = FeedRun.execute(plan(0, host));

        assertThat(summary.outcomes().keySet()).containsExactly("answered");
        assertThat(summary.requests()).isGreaterThan(4);
    }

    @Test
    void countsCorrectResponsesOfClosedLoop() throws Exception {
        String host = serve(exchange ->
                answer(exchange, "answered", exchange.getRequestURI().getQuery()));

        LoadSummary summary = run(0, host);

        assertThat(summary.requests()).isGreaterThan(0);
        assertThat(summary.allAnswered()).isTrue();
        assertThat(summary.latency().p50Micros()).isGreaterThan(0);
    }

    @Test
    void detectsResponseToAnotherRequest() throws Exception {
        String host = serve(exchange -> answer(exchange, "answered", "n=other"));

        assertThat(run(50, host).outcomes().keySet()).containsExactly("corrupted");
    }

    @Test
    void countsRefusalsByOutcomeAndStatus() throws Exception {
        String host = serve(exchange -> answer(exchange, "not-run", "full"));

        assertThat(run(50, host).outcomes().keySet()).containsExactly("not-run-503");
    }

    @Test
    void retriesAtNextEntryHostWhenOneIsUnreachable() throws Exception {
        String host = serve(exchange ->
                answer(exchange, "answered", exchange.getRequestURI().getQuery()));

        LoadSummary summary = run(50, "127.0.0.1:1", host);

        assertThat(summary.allAnswered()).isTrue();
        assertThat(summary.connectRetries()).isGreaterThan(0);
    }
}
