package dev.waxwinghead.testkit.worker;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifests;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Posts JSON to the worker port of one of several entry hosts.
 *
 * <p>It stays with one entry host until a request to it fails, then goes on to the next. Thread-safe.
 */
final class EntryHostClient {
    private static final ObjectMapper MAPPER = Manifests.jsonMapper()
            .copy()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private final HttpClient client;
    private final List<String> ports;
    private final AtomicInteger current;

    private EntryHostClient(HttpClient client, List<String> ports, int first) {
        this.client = client;
        this.ports = List.copyOf(ports);
        this.current = new AtomicInteger(first);
    }

    /**
     * Returns a client.
     *
     * @param client sends the requests
     * @param ports the worker ports as {@code ip:port}
     * @param first the position of the port that is tried first
     */
    static EntryHostClient create(HttpClient client, List<String> ports, int first) {
        return new EntryHostClient(client, ports, first);
    }

    /** Posts to the current entry host, and goes on to the next one for later requests if this one fails. */
    <T> CompletableFuture<T> post(String path, Object body, Class<T> answer, Duration timeout) {
        int position = current.get();
        String port = ports.get(Math.floorMod(position, ports.size()));
        CompletableFuture<T> result = post(port, path, body, answer, timeout);
        return result.whenComplete((value, failure) -> {
            if (failure != null) {
                current.compareAndSet(position, position + 1);
            }
        });
    }

    /** Posts to the entry host at the given worker port. */
    <T> CompletableFuture<T> post(String port, String path, Object body, Class<T> answer, Duration timeout) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + port + path))
                    .timeout(timeout)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofByteArray(MAPPER.writeValueAsBytes(body)))
                    .build();
            return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                    .thenApply(response -> read(response, answer));
        } catch (IOException | IllegalArgumentException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> T read(HttpResponse<byte[]> response, Class<T> answer) {
        if (response.statusCode() != 200) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    response.uri() + " answered " + response.statusCode(),
                    "see the log of that entry host");
        }
        try {
            return MAPPER.readValue(response.body(), answer);
        } catch (IOException e) {
            throw Manifests.malformed(e);
        }
    }
}
