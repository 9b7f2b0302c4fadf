package dev.waxwinghead.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Reads JSON request bodies and writes JSON responses. */
public final class JsonExchange {
    /** The maximum size of a request body, in bytes. */
    public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final ObjectMapper MAPPER = Manifests.jsonMapper();

    private JsonExchange() {}

    /**
     * Reads the body of a request as UTF-8 text.
     *
     * @param exchange the exchange
     * @return the text, never null
     * @throws IOException if the body is truncated
     * @throws WaxwingheadException if the body is too large
     */
    public static String readText(HttpExchange exchange) throws IOException {
        byte[] body = RequestBodies.read(exchange, MAX_BODY_BYTES, "split it into smaller requests");
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Reads the body of a request as a JSON value of the given type.
     *
     * @param exchange the exchange
     * @param type the class of the value
     * @param <T> the type of the value
     * @return the value, never null
     * @throws IOException if the body is truncated
     * @throws WaxwingheadException if the body is malformed or too large
     */
    public static <T> T read(HttpExchange exchange, Class<T> type) throws IOException {
        String text = readText(exchange);
        T value;
        try {
            value = MAPPER.readValue(text, type);
        } catch (IOException e) {
            throw Manifests.malformed(e);
        }
        if (value == null) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, "the body is null", "send a JSON object");
        }
        return value;
    }

    /**
     * Responds with a JSON value and finishes the exchange. A connection closed by the client is ignored.
     *
     * @param exchange the exchange
     * @param status the HTTP status
     * @param value the value to write
     */
    public static void respond(HttpExchange exchange, int status, Object value) {
        try (exchange) {
            byte[] body = MAPPER.writeValueAsBytes(value);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
        } catch (IOException e) {
            exchange.close();
        }
    }

    /**
     * Responds with a typed error as JSON and finishes the exchange.
     *
     * @param exchange the exchange
     * @param failure the failure, converted by {@link WaxwingheadException#from}
     */
    public static void fail(HttpExchange exchange, Throwable failure) {
        WaxwingheadException typed = WaxwingheadException.from(failure);
        respond(exchange, typed.kind().httpStatus(), errorBody(typed));
    }

    /**
     * Responds with the value or the failure of a future once the future completes.
     *
     * @param exchange the exchange
     * @param future the future
     */
    public static void respondWhenComplete(HttpExchange exchange, CompletableFuture<?> future) {
        handleWhenComplete(exchange, future, value -> respond(exchange, 200, value));
    }

    /**
     * Passes the value of a future to a responder, or responds with the failure of the future, once the future
     * completes.
     *
     * @param exchange the exchange
     * @param future the future
     * @param responder writes the response for the value
     * @param <T> the type of the value
     */
    public static <T> void handleWhenComplete(
            HttpExchange exchange, CompletableFuture<T> future, Consumer<T> responder) {
        future.thenAccept(responder).exceptionally(failure -> {
            fail(exchange, failure);
            return null;
        });
    }

    /**
     * Returns the JSON form of a typed error.
     *
     * @param failure the failure
     * @return a map with {@code error}, {@code message} and {@code remedy}
     */
    public static Map<String, Object> errorBody(WaxwingheadException failure) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("error", failure.kind().code());
        body.put("message", failure.getMessage());
        body.put("remedy", failure.remedy());
        return body;
    }
}
