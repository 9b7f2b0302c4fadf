package dev.waxwinghead.daemon.http;

import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.Optional;

/** Reads request bodies up to a size limit. */
public final class RequestBodies {
    private static final long MAX_DISCARDED_BYTES = 64L * 1024 * 1024;
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(10);
    private static final int BUFFER_BYTES = 16 * 1024;

    private RequestBodies() {}

    /**
     * Reads the body of a request and closes its stream.
     *
     * <p>Of a body over the limit, up to 64 MiB more are read and discarded, for at most 10 seconds plus the time of
     * one read, so that the client can read the response once it has sent the body.
     *
     * @param exchange the exchange
     * @param maxBytes the maximum size of the body
     * @param remedy what the client can do about a body that is too large
     * @return the body, never null
     * @throws IOException if the body is truncated
     * @throws WaxwingheadException if the body is too large
     */
    public static byte[] read(HttpExchange exchange, int maxBytes, String remedy) throws IOException {
        try (InputStream body = exchange.getRequestBody()) {
            Optional<byte[]> bytes = readUpTo(body, maxBytes);
            if (bytes.isEmpty()) {
                discardRest(body, Ticker.system());
                throw WaxwingheadException.of(
                        ErrorKind.TOO_LARGE, "the body has more than " + maxBytes + " bytes", remedy);
            }
            return bytes.get();
        }
    }

    private static Optional<byte[]> readUpTo(InputStream body, int maxBytes) throws IOException {
        byte[] bytes = body.readNBytes(maxBytes + 1);
        return bytes.length > maxBytes ? Optional.empty() : Optional.of(bytes);
    }

    /** Closing a connection with unread bytes resets it, and a reset may overtake the response. */
    static void discardRest(InputStream body, Ticker ticker) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        long start = ticker.nanos();
        long discarded = 0;
        while (discarded < MAX_DISCARDED_BYTES && ticker.nanos() - start < DISCARD_TIMEOUT.toNanos()) {
            int read = body.read(buffer);
            if (read < 0) {
                return;
            }
            discarded += read;
        }
    }
}
