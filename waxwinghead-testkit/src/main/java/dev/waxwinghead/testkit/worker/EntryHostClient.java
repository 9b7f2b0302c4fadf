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
 * <p>The client uses one entry host until a request fails, then switches to the next one. Thread-safe.
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
     * Creates a client.
     *
     * @param client the HTTP client that sends the requests
     * @param ports the worker ports of the entry hosts as {@code ip:port}, at least one
     * @param first the index of the port to use first, modulo the number of ports
     */
    static EntryHostClient create(HttpClient client, List<String> ports, int first) {
        return new EntryHostClient(client, ports, first);
    }

    /** Posts to the current entry host. If that fails, later requests go to the next entry host. */
    <T> CompletableFuture<T> post(String path, Object body, Class<T> responseType, Duration timeout) {
        int position = current.get();
        String port = ports.get(Math.floorMod(position, ports.size()));
        CompletableFuture<T> result = post(port, path, body, responseType, timeout);
        return result.whenComplete((value, failure) -> {
            if (failure != null) {
                current.compareAndSet(position, position + 1);
            }
        });
    }

    /** Posts to the entry host with the given worker port. */
    <T> CompletableFuture<T> post(String port, String path, Object body, Class<T> responseType, Duration timeout) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + port + path))
                    .timeout(timeout)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofByteArray(MAPPER.writeValueAsBytes(body)))
                    .build();
            return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                    .thenApply(response -> read(response, responseType));
        } catch (IOException | IllegalArgumentException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> T read(HttpResponse<byte[]> response, Class<T> responseType) {
        if (response.statusCode() != 200) {
            throw WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    response.uri() + " answered " + response.statusCode(),
                    "see the log of that entry host");
        }
        try {
            return MAPPER.readValue(response.body(), responseType);
        } catch (IOException e) {
            throw Manifests.malformed(e);
        }
    }
}
