package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeavingHostTests {
    private static final int FEEDS = 40;

    private final TestCluster cluster = new TestCluster("e1@dc1");
    private final TestHost host = cluster.addAll().get(0);
    private final HttpClient client = HttpClient.newHttpClient();
    private StubUpstream upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = StubUpstream.start(host, "u1", LeavingHostTests::answerSlowly);
    }

    @AfterEach
    void close() {
        cluster.close();
        upstream.close();
    }

    @Test
    void finishesSlowAnswersAndEndsFeedsCleanly() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> slow = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            slow.add(send("/slow", "idempotent"));
        }
        List<CompletableFuture<HttpResponse<String>>> feeds = openFeeds();
        CompletableFuture<Void> drained = host.callers().drain(Deadline.after(Duration.ofSeconds(20), Ticker.system()));
        assertThat(ready()).isEqualTo(503);
        drained.get(20, TimeUnit.SECONDS);
        host.close();
        for (CompletableFuture<HttpResponse<String>> each : slow) {
            assertThat(each.get(5, TimeUnit.SECONDS).body()).isEqualTo("slow but whole");
        }
        for (CompletableFuture<HttpResponse<String>> each : feeds) {
            assertThat(each.get(5, TimeUnit.SECONDS).body()).endsWith("event: reconnect\ndata: {}\n\n");
        }
    }

    @Test
    void openFeedsHoldNoThread() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> feeds = openFeeds();
        for (int i = 0; i < 20; i++) {
            assertThat(send("/quick", "idempotent").get(5, TimeUnit.SECONDS).statusCode())
                    .isEqualTo(200);
        }
        assertThat(feeds.stream().noneMatch(CompletableFuture::isDone)).isTrue();
    }

    private List<CompletableFuture<HttpResponse<String>>> openFeeds() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> feeds = new ArrayList<>();
        for (int i = 0; i < FEEDS; i++) {
            feeds.add(send("/feed", "feed"));
        }
        Eventually.check(() -> assertThat(upstream.runs("feed")).isEqualTo(FEEDS));
        return feeds;
    }

    private CompletableFuture<HttpResponse<String>> send(String path, String kind) {
        HttpRequest request =
                host.request(path).header("Waxwinghead-Kind", kind).build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private int ready() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(host.callerUri("/readyz")).build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static void answerSlowly(HttpExchange exchange) throws IOException {
        switch (exchange.getRequestURI().getPath()) {
            case "/feed" -> feed(exchange);
            case "/slow" -> {
                pause(2_500);
                StubUpstream.reply(exchange, 200, "slow but whole");
            }
            default -> StubUpstream.reply(exchange, 200, "ok");
        }
    }

    private static void feed(HttpExchange exchange) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        while (true) {
            out.write("data: stock\n\n".getBytes(StandardCharsets.UTF_8));
            out.flush();
            pause(200);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
