package dev.waxwinghead.testkit.upstream;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Sends HTTP responses with a digest of the body in a header. */
final class Responses {
    /** Name of the header with the SHA-256 of the body in hexadecimal digits. */
    static final String DIGEST_HEADER = "Body-Digest";

    private static final int BLOCK_BYTES = 8_192;

    private Responses() {}

    static void send(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set(DIGEST_HEADER, digest(body));
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    static void send(HttpExchange exchange, int status, String body) throws IOException {
        send(exchange, status, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends the response headers, including digest and length, for a generated body of the given size in bytes. */
    static void sendGeneratedHeaders(HttpExchange exchange, long size) throws IOException {
        MessageDigest digest = sha256();
        for (long offset = 0; offset < size; offset += BLOCK_BYTES) {
            digest.update(block(offset, size));
        }
        exchange.getResponseHeaders().set(DIGEST_HEADER, HexFormat.of().formatHex(digest.digest()));
        exchange.sendResponseHeaders(200, size == 0 ? -1 : size);
    }

    /** Writes the given range of bytes of a generated body. */
    static void writeGenerated(HttpExchange exchange, long from, long to) throws IOException {
        for (long offset = from; offset < to; offset += BLOCK_BYTES) {
            exchange.getResponseBody().write(block(offset, to));
        }
        exchange.getResponseBody().flush();
    }

    private static byte[] block(long offset, long end) {
        byte[] block = new byte[(int) Math.min(BLOCK_BYTES, end - offset)];
        for (int i = 0; i < block.length; i++) {
            long position = offset + i;
            block[i] = (byte) (position * 31 + (position >>> 8));
        }
        return block;
    }

    static String digest(byte[] body) {
        return HexFormat.of().formatHex(sha256().digest(body));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
