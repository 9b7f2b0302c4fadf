package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WholeAnswersTests {
    private static final int CALLERS = 64;
    private static final int REQUESTS_PER_CALLER = 10;

    private final TestCluster cluster = new TestCluster("e1@dc1");
    private final TestHost host = cluster.addAll().get(0);
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<StubUpstream> upstreams = new ArrayList<>();

    @AfterEach
    void close() {
        upstreams.forEach(StubUpstream::close);
        cluster.close();
    }

    @Test
    void givesEachOf64CallersTheWholeAnswerToItsOwnRequest() throws Exception {
        for (int i = 0; i < 3; i++) {
            upstreams.add(StubUpstream.start(host, "u" + i, WholeAnswersTests::answerSeededBody));
        }
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(callRepeatedly(new Random(caller), REQUESTS_PER_CALLER));
        }
        callers.forEach(CompletableFuture::join);
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 300_000})
    void neverPresentsATruncatedAnswerAsComplete(int bytes) throws Exception {
        upstreams.add(StubUpstream.start(host, "u1", exchange -> breakOff(exchange, bytes, true)));
        upstreams.add(StubUpstream.start(host, "u2", exchange -> breakOff(exchange, bytes, false)));
        for (int i = 0; i < 6; i++) {
            assertBroken(host.request("/broken")
                    .POST(HttpRequest.BodyPublishers.noBody())
                    .build());
        }
    }

    @Test
    void refusesAnAnswerWithoutLengthOrChunks() throws Exception {
        try (RawUpstream raw = RawUpstream.start("HTTP/1.1 200 OK\r\n\r\nlooks whole")) {
            upstreams.add(StubUpstream.startAt(host, "u1", raw.port()));
            assertBroken(
                    host.request("/x").POST(HttpRequest.BodyPublishers.noBody()).build());
        }
    }

    private CompletableFuture<Void> callRepeatedly(Random random, int times) {
        if (times == 0) {
            return CompletableFuture.completedFuture(null);
        }
        long seed = random.nextInt(1_000_000);
        int size = random.nextInt(10) == 0 ? 200_000 + random.nextInt(200_000) : random.nextInt(20_000);
        String path = "/body?seed=" + seed + "&size=" + size + "&delay=" + random.nextInt(30);
        return client.sendAsync(host.request(path).build(), HttpResponse.BodyHandlers.ofByteArray())
                .thenAccept(response -> {
                    assertWithMessage(new String(
                                    response.body(), 0, Math.min(200, response.body().length), StandardCharsets.UTF_8))
                            .that(response.statusCode())
                            .isEqualTo(200);
                    assertThat(response.headers().firstValue("Waxwinghead-Outcome"))
                            .hasValue("answered");
                    assertThat(digest(response.body())).isEqualTo(digest(body(seed, size)));
                })
                .thenCompose(done -> callRepeatedly(random, times - 1));
    }

    private void assertBroken(HttpRequest request) throws InterruptedException {
        HttpResponse<String> response;
        try {
            response = client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return;
        }
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.headers().firstValue("Waxwinghead-Outcome")).hasValue("unknown");
    }

    private static void answerSeededBody(HttpExchange exchange) throws IOException {
        long seed = parameter(exchange, "seed");
        byte[] body = body(seed, (int) parameter(exchange, "size"));
        pause(parameter(exchange, "delay"));
        try (exchange) {
            exchange.sendResponseHeaders(200, seed % 2 == 0 && body.length > 0 ? body.length : 0);
            exchange.getResponseBody().write(body);
        }
    }

    private static void breakOff(HttpExchange exchange, int bytes, boolean chunked) throws IOException {
        exchange.sendResponseHeaders(200, chunked ? 0 : bytes * 2L);
        OutputStream out = exchange.getResponseBody();
        out.write(new byte[bytes]);
        out.flush();
        throw new IOException("break the connection");
    }

    private static long parameter(HttpExchange exchange, String name) {
        return Arrays.stream(exchange.getRequestURI().getQuery().split("&", -1))
                .filter(pair -> pair.startsWith(name + "="))
                .mapToLong(pair -> Long.parseLong(pair.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] body(long seed, int size) {
        byte[] bytes = new byte[size];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
