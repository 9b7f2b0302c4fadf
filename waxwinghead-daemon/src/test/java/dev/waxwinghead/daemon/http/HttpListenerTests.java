package dev.waxwinghead.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.model.lifecycle.Closer;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpListenerTests {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
    private static final int CLIENTS = 4;
    private static final Duration SHORT = Duration.ofMillis(50);

    private final Closer closer = Closer.create();

    @AfterEach
    void close() {
        closer.close();
    }

    /** Guards against a caller that waits for an answer after the handler's thread has ended. */
    @Test
    void answersEachRequestWhoseHandlerFailsWithAnError() throws Exception {
        HttpListener listener = listen(exchange -> {
            throw new StackOverflowError();
        });
        for (int i = 0; i < 3; i++) {
            assertThat(HttpClient.newHttpClient()
                            .send(request(listener), HttpResponse.BodyHandlers.discarding())
                            .statusCode())
                    .isEqualTo(500);
        }
    }

    @Nested
    class AwaitingResponses {
        private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
        private final HttpListener listener = listen(exchanges::add);

        /** Guards against a listener that is closed while the answer to a request is computed on another thread. */
        @Test
        void lastsUntilTheHandlerHasResponded() throws Exception {
            CompletableFuture<HttpResponse<String>> response = send();
            HttpExchange exchange = exchanges.take();
            CompletableFuture<Boolean> complete = CompletableFuture.supplyAsync(() -> await(ANSWER_TIMEOUT));
            assertThat(await(SHORT)).isFalse();
            assertThat(complete.isDone()).isFalse();

            JsonExchange.respond(exchange, 200, "late");
            assertThat(complete.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                    .isTrue();
            listener.close();
            assertThat(response.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                            .body())
                    .isEqualTo("\"late\"");
        }

        @Test
        void lastsUntilAStreamedBodyHasBeenWritten() throws Exception {
            CompletableFuture<HttpResponse<String>> response = send();
            HttpExchange exchange = exchanges.take();
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody().write('a');
            assertThat(await(SHORT)).isFalse();

            exchange.getResponseBody().close();
            assertThat(await(ANSWER_TIMEOUT)).isTrue();
            assertThat(response.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                            .body())
                    .isEqualTo("a");
        }

        /** Guards against a host that is not stopped in time since it gets one request after the other. */
        @Test
        void endsWhileRequestsThatAreAnsweredAtOnceGoOn() throws Exception {
            HttpListener busy = listen(CLIENTS, exchange -> JsonExchange.respond(exchange, 200, ""));
            AtomicBoolean sending = new AtomicBoolean(true);
            List<CompletableFuture<Void>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(CompletableFuture.runAsync(() -> sendWhile(sending, busy)));
            }
            assertThat(busy.awaitResponses(Deadline.after(ANSWER_TIMEOUT, Ticker.system()), Ticker.system()))
                    .isTrue();
            assertThat(clients.stream().anyMatch(CompletableFuture::isDone)).isFalse();
            sending.set(false);
            for (CompletableFuture<Void> client : clients) {
                client.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private static void sendWhile(AtomicBoolean sending, HttpListener target) {
            HttpClient client = HttpClient.newHttpClient();
            while (sending.get()) {
                HttpResponse<Void> response = client.sendAsync(request(target), HttpResponse.BodyHandlers.discarding())
                        .join();
                assertThat(response.statusCode()).isEqualTo(200);
            }
        }

        @Test
        void endsAtOnceWithoutRequests() throws Exception {
            assertThat(await(Duration.ZERO)).isTrue();
            CompletableFuture<HttpResponse<String>> response = send();
            exchanges.take().sendResponseHeaders(204, -1);
            response.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            assertThat(await(ANSWER_TIMEOUT)).isTrue();
        }

        private boolean await(Duration time) {
            return listener.awaitResponses(Deadline.after(time, Ticker.system()), Ticker.system());
        }

        private CompletableFuture<HttpResponse<String>> send() {
            return HttpClient.newHttpClient().sendAsync(request(listener), HttpResponse.BodyHandlers.ofString());
        }
    }

    /** Guards against an order that waited for a thread and is carried out after its sender has replaced it. */
    @Test
    void tellsHowLongARequestWaitedForAThread() throws Exception {
        BlockingQueue<Long> arrivals = new LinkedBlockingQueue<>();
        CountDownLatch release = new CountDownLatch(1);
        ThreadPoolExecutor pool = (ThreadPoolExecutor) ThreadPools.bounded("http", 1, closer);
        HttpListener listener = listen(pool, exchange -> {
            arrivals.add(HttpListener.earliestArrivalNanos(exchange));
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            JsonExchange.respond(exchange, 200, "");
        });
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        responses.add(HttpClient.newHttpClient().sendAsync(request(listener), HttpResponse.BodyHandlers.ofString()));
        assertThat(arrivals.take()).isAtMost(System.nanoTime());
        responses.add(HttpClient.newHttpClient().sendAsync(request(listener), HttpResponse.BodyHandlers.ofString()));
        while (pool.getQueue().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        TimeUnit.MILLISECONDS.sleep(300);
        long releasedNanos = System.nanoTime();
        release.countDown();
        assertThat(releasedNanos - arrivals.take()).isAtLeast(TimeUnit.MILLISECONDS.toNanos(50));
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            assertThat(response.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                            .statusCode())
                    .isEqualTo(200);
        }
    }

    private HttpListener listen(HttpHandler handler) {
        return listen(1, handler);
    }

    private HttpListener listen(int threads, HttpHandler handler) {
        return listen(ThreadPools.bounded("http", threads, closer), handler);
    }

    private HttpListener listen(Executor pool, HttpHandler handler) {
        HttpListener listener =
                closer.register(HttpListener.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), pool));
        listener.route("/", handler);
        listener.start();
        return listener;
    }

    private static HttpRequest request(HttpListener listener) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + listener.address().getPort() + "/"))
                .timeout(ANSWER_TIMEOUT)
                .build();
    }
}
