package dev.waxwinghead.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.model.lifecycle.Closer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpListenerTests {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

    private final Closer closer = Closer.create();

    @AfterEach
    void close() {
        closer.close();
    }

    /** Guards against a caller that waits for an answer after the handler's thread has ended. */
    @Test
    void answersEachRequestWhoseHandlerFailsWithAnError() throws Exception {
        HttpListener listener = closer.register(HttpListener.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ThreadPools.bounded("http", 1, closer)));
        listener.route("/", exchange -> {
            throw new StackOverflowError();
        });
        listener.start();
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + listener.address().getPort() + "/"))
                .timeout(ANSWER_TIMEOUT)
                .build();
        for (int i = 0; i < 3; i++) {
            assertThat(HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode())
                    .isEqualTo(500);
        }
    }
}
