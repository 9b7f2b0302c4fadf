package dev.waxwinghead.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.part.ThreadPools;
import dev.waxwinghead.model.lifecycle.Closer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

class RequestBodiesTests {
    /** Guards against a reset that reaches the client in place of the answer to a body over the limit. */
    @Nested
    class ClientsThatSendTheWholeBody {
        private static final int BODY_BYTES = 32 * 1024 * 1024;
        private static final int TIMEOUT_MILLIS = 30_000;

        private final Closer closer = Closer.create();
        private HttpListener listener;

        @BeforeEach
        void listen() {
            listener = closer.register(HttpListener.open(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    ThreadPools.bounded("http", 1, closer)));
            listener.route("/", exchange -> JsonExchange.respond(exchange, 200, JsonExchange.readText(exchange)));
            listener.start();
        }

        @AfterEach
        void close() {
            closer.close();
        }

        @RepeatedTest(10)
        void readTheAnswerToABodyOverTheLimit() throws IOException {
            String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";

            assertThat(send(head, new byte[BODY_BYTES])).startsWith("HTTP/1.1 413");
        }

        @Test
        void readTheAnswerToAChunkedBodyOverTheLimit() throws IOException {
            String head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
            byte[] end = "\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
            byte[] body = new byte[BODY_BYTES + end.length];
            System.arraycopy(end, 0, body, BODY_BYTES, end.length);

            assertThat(send(head + Integer.toHexString(BODY_BYTES) + "\r\n", body))
                    .startsWith("HTTP/1.1 413");
        }

        private String send(String head, byte[] body) throws IOException {
            try (Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(), listener.address().getPort())) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                OutputStream output = socket.getOutputStream();
                output.write(head.getBytes(StandardCharsets.UTF_8));
                output.write(body);
                return new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);
            }
        }
    }

    @Nested
    class Discarding {
        private final AtomicLong nanos = new AtomicLong();

        @Test
        void endsAtTheBoundOfBytes() throws IOException {
            EndlessBody body = new EndlessBody(Duration.ZERO);

            RequestBodies.discardRest(body, nanos::get);

            assertThat(body.bytesRead).isAtLeast(64L * 1024 * 1024);
            assertThat(body.bytesRead).isLessThan(65L * 1024 * 1024);
        }

        @Test
        void endsAtTheBoundOfTimeForSlowClients() throws IOException {
            EndlessBody body = new EndlessBody(Duration.ofSeconds(1));

            RequestBodies.discardRest(body, nanos::get);

            assertThat(nanos.get()).isEqualTo(Duration.ofSeconds(10).toNanos());
        }

        /** A body without an end, of which each read takes the given time. */
        private final class EndlessBody extends InputStream {
            private final Duration readTime;
            private long bytesRead;

            EndlessBody(Duration readTime) {
                this.readTime = readTime;
            }

            @Override
            public int read() {
                throw new UnsupportedOperationException();
            }

            @Override
            public int read(byte[] buffer, int offset, int length) {
                nanos.addAndGet(readTime.toNanos());
                bytesRead += length;
                return length;
            }
        }
    }
}
