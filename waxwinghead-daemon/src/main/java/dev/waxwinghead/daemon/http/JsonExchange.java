package dev.waxwinghead.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Reads and answers exchanges whose bodies are JSON. */
public final class JsonExchange {
    /** The largest request body, in bytes. */
    public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final ObjectMapper MAPPER = Manifests.jsonMapper();

    private JsonExchange() {}

    /**
     * Reads the request's body as text.
     *
     * @param exchange the exchange
     * @return the text, never null
     * @throws IOException if the body is cut off
     * @throws WaxwingheadException if the body is too large
     */
    public static String readText(HttpExchange exchange) throws IOException {
        try (InputStream body = exchange.getRequestBody()) {
            byte[] bytes = body.readNBytes(MAX_BODY_BYTES + 1);
            if (bytes.length > MAX_BODY_BYTES) {
                throw WaxwingheadException.of(
                        ErrorKind.TOO_LARGE,
                        "the body has more than " + MAX_BODY_BYTES + " bytes",
                        "split it into smaller requests");
            }
            return new String(bytes, StandardCharsets.UTF_8);
        }
    }

    /**
     * Reads the request's body as a JSON value of a type.
     *
     * @param exchange the exchange
     * @param type the type
     * @param <T> the type
     * @return the value, never null
     * @throws IOException if the body is cut off
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
     * Answers with a JSON value and finishes the exchange. A caller that has gone is passed over.
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
     * Answers with a typed error as JSON and finishes the exchange.
     *
     * @param exchange the exchange
     * @param failure any failure
     */
    public static void fail(HttpExchange exchange, Throwable failure) {
        WaxwingheadException typed = WaxwingheadException.from(failure);
        respond(exchange, typed.kind().httpStatus(), errorBody(typed));
    }

    /**
     * Answers with the future's value, or its failure, once it completes.
     *
     * @param exchange the exchange
     * @param answer the future
     */
    public static void respondLater(HttpExchange exchange, CompletableFuture<?> answer) {
        answerLater(exchange, answer, value -> respond(exchange, 200, value));
    }

    /**
     * Hands the future's value to an answerer, or answers with its failure, once it completes.
     *
     * @param exchange the exchange
     * @param future the future
     * @param answerer answers the exchange
     * @param <T> the future's type
     */
    public static <T> void answerLater(HttpExchange exchange, CompletableFuture<T> future, Consumer<T> answerer) {
        future.thenAccept(answerer).exceptionally(failure -> {
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
