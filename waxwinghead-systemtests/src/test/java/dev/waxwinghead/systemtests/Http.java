package dev.waxwinghead.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends single requests to {@code ip:port}. */
public final class Http {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Http() {}

    /** Returns a request to a path, with a bound on its time. */
    public static HttpRequest.Builder request(String port, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + port + path)).timeout(TIMEOUT);
    }

    /** Sends a request and returns the whole answer. */
    public static HttpResponse<byte[]> send(HttpRequest request) throws IOException, InterruptedException {
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    /** Returns the status of a read. */
    public static int status(String port, String path) throws IOException, InterruptedException {
        return send(request(port, path).build()).statusCode();
    }

    /** Returns the JSON answer of a read. */
    public static JsonNode getJson(String port, String path) throws IOException, InterruptedException {
        return MAPPER.readTree(send(request(port, path).build()).body());
    }

    /** Posts JSON text and returns the answer. */
    public static HttpResponse<byte[]> post(String port, String path, String json)
            throws IOException, InterruptedException {
        return send(request(port, path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build());
    }

    /** Reads a JSON body. */
    public static JsonNode json(HttpResponse<byte[]> answer) throws IOException {
        return MAPPER.readTree(answer.body());
    }
}
