package dev.waxwinghead.systemtests.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.waxwinghead.systemtests.EntryHost;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Sends requests to the operator port of an entry host. */
final class OperatorClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(8);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();

    /** Sends a change that puts a tenant; {@code expectedRevision} is null for a change without a condition. */
    CompletableFuture<Answer> putTenant(EntryHost host, String changeId, Long expectedRevision, String tenant) {
        Map<String, Object> body = new HashMap<>();
        body.put("changeId", changeId);
        body.put("expectedRevision", expectedRevision);
        body.put("manifests", "kind: Tenant\nname: " + tenant + "\n");
        HttpRequest request = request(host, "/v1/changes")
                .POST(HttpRequest.BodyPublishers.ofString(
                        MAPPER.valueToTree(body).toString()))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).thenApply(Answer::of);
    }

    /** Sends a GET request and returns the answer, empty if the request fails. */
    Optional<Answer> get(EntryHost host, String path) {
        try {
            return Optional.of(
                    Answer.of(http.send(request(host, path).GET().build(), HttpResponse.BodyHandlers.ofString())));
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static HttpRequest.Builder request(EntryHost host, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + host.operatorAddress() + path))
                .timeout(TIMEOUT);
    }

    /**
     * Holds an answer of an entry host.
     *
     * @param status the HTTP status
     * @param body the JSON body
     */
    record Answer(int status, JsonNode body) {
        static Answer of(HttpResponse<String> response) {
            try {
                return new Answer(response.statusCode(), MAPPER.readTree(response.body()));
            } catch (IOException e) {
                throw new IllegalStateException(response.body(), e);
            }
        }

        boolean isOk() {
            return status == 200;
        }

        long revision() {
            return body.path("revision").asLong();
        }
    }
}
