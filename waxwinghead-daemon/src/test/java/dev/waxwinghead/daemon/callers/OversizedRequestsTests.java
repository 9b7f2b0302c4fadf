package dev.waxwinghead.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OversizedRequestsTests {
    private static final int BODY_BYTES = 32 * 1024 * 1024;
    private static final int TIMEOUT_MILLIS = 30_000;

    private final TestCluster cluster = new TestCluster("e1@dc1");
    private final TestHost host = cluster.addAll().get(0);

    @AfterEach
    void close() {
        cluster.close();
    }

    /** Guards against a reset that reaches the caller in place of the answer to a body over the limit. */
    @Test
    void aCallerThatSendsTheWholeBodyReadsTheAnswer() throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), host.callerUri("/").getPort())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            String head = "POST /call/quotes/x HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
            output.write(head.getBytes(StandardCharsets.UTF_8));
            output.write(new byte[BODY_BYTES]);
            String start = new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8);

            assertThat(start).isEqualTo("HTTP/1.1 413");
        }
    }
}
