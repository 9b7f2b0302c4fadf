package dev.waxwinghead.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Sends HTTP requests to servers given as {@code ip:port}. */
public final class Http {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Http() {}

    /** Returns a builder of a request to a path, with a timeout. */
    public static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
    }

    /** Sends a request and returns the answer with its whole body. */
    public static HttpResponse<byte[]> send(HttpRequest request) throws IOException, InterruptedException {
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    /** Sends a GET request and returns the HTTP status. */
    public static int status(String address, String path) throws IOException, InterruptedException {
        return send(request(address, path).build()).statusCode();
    }

    /** Sends a GET request and returns the JSON body of the answer. */
    public static JsonNode getJson(String address, String path) throws IOException, InterruptedException {
        return MAPPER.readTree(send(request(address, path).build()).body());
    }

    /** Sends a POST request with a JSON body and returns the answer. */
    public static HttpResponse<byte[]> post(String address, String path, String json)
            throws IOException, InterruptedException {
        return send(request(address, path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build());
    }

    /** Returns the body of an answer as JSON. */
    public static JsonNode json(HttpResponse<byte[]> answer) throws IOException {
        return MAPPER.readTree(answer.body());
    }
}
