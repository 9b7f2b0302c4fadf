package dev.waxwinghead.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.manifest.Manifests;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Sends a request to several entry hosts in turn until one of them answers.
 *
 * <p>If an entry host is unreachable, closes the connection, does not answer in time or answers 502, 503 or 504, the
 * same request goes to the next entry host, round after round, until the deadline. Resending is safe because every
 * request that changes something carries an id by which entry hosts recognise a resend.
 *
 * @since 0.1
 */
public final class OperatorClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(6);
    private static final Duration ROUND_PAUSE = Duration.ofMillis(250);
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient client;
    private final List<String> entryHosts;
    private final Ticker ticker;
    private final Deadline deadline;

    private OperatorClient(List<String> entryHosts, Ticker ticker, Deadline deadline) {
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        this.entryHosts = List.copyOf(entryHosts);
        this.ticker = ticker;
        this.deadline = deadline;
    }

    /**
     * Creates a client.
     *
     * @param entryHosts operator ports as {@code ip:port}, at least one, tried in this order
     * @param ticker the monotonic clock, never null
     * @param deadline the time after which no further attempt is made, never null
     * @return the client, never null
     */
    public static OperatorClient create(List<String> entryHosts, Ticker ticker, Deadline deadline) {
        if (entryHosts.isEmpty()) {
            throw new IllegalArgumentException("entryHosts is empty");
        }
        return new OperatorClient(entryHosts, ticker, deadline);
    }

    /**
     * Sends a GET request.
     *
     * @param path the path and query, never null
     * @return the JSON body of the response, never null
     * @throws WaxwingheadException if an entry host refuses the request, or none answers in time
     */
    public JsonNode get(String path) {
        return send(path, null);
    }

    /**
     * Sends a POST request with a change, which may reach several entry hosts.
     *
     * @param path the path, never null
     * @param body the JSON body, which contains the id of the change; never null
     * @return the JSON body of the response, never null
     * @throws WaxwingheadException if an entry host refuses the request, or none answers in time
     */
    public JsonNode post(String path, JsonNode body) {
        return send(path, body);
    }

    private JsonNode send(String path, JsonNode body) {
        AttemptFailures failures = new AttemptFailures(body != null);
        while (true) {
            for (String entryHost : entryHosts) {
                HttpResponse<byte[]> response = attempt(entryHost, path, body, failures);
                if (response != null) {
                    return read(response, entryHost);
                }
                if (deadline.passed(ticker)) {
                    throw failures.toException();
                }
            }
            pause(failures);
        }
    }

    /** Returns the response, null if the next entry host is to be tried. */
    private HttpResponse<byte[]> attempt(String entryHost, String path, JsonNode body, AttemptFailures failures) {
        try {
            HttpResponse<byte[]> response =
                    client.send(request(entryHost, path, body), HttpResponse.BodyHandlers.ofByteArray());
            if (!isRetryable(response.statusCode())) {
                return response;
            }
            failures.addRefusal(refusal(response, entryHost));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            failures.addUnreachable(entryHost, e);
        } catch (IOException e) {
            failures.addBrokenConnection(entryHost, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw WaxwingheadException.of(
                    ErrorKind.UNKNOWN_OUTCOME,
                    "the command was interrupted",
                    "run it again with the same --change-id",
                    e);
        }
        return null;
    }

    private HttpRequest request(String entryHost, String path, JsonNode body) {
        Duration remaining = deadline.remaining(ticker);
        Duration timeout = remaining.compareTo(ATTEMPT_TIMEOUT) < 0 ? remaining : ATTEMPT_TIMEOUT;
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + entryHost + path)).timeout(timeout.plusMillis(1));
        if (body != null) {
            request.header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
        }
        return request.build();
    }

    private static boolean isRetryable(int status) {
        return status >= 502 && status <= 504;
    }

    private void pause(AttemptFailures failures) {
        Duration remaining = deadline.remaining(ticker);
        if (remaining.compareTo(ROUND_PAUSE) <= 0) {
            throw failures.toException();
        }
        try {
            TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failures.toException();
        }
    }

    private static JsonNode read(HttpResponse<byte[]> response, String entryHost) {
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            throw refusal(response, entryHost);
        }
        return parse(response.body());
    }

    private static WaxwingheadException refusal(HttpResponse<byte[]> response, String entryHost) {
        JsonNode body = parse(response.body());
        String message = body.path("message").asText("entry host " + entryHost + " answered " + response.statusCode());
        String remedy = body.path("remedy").asText("check that this is the operator port of an entry host");
        String suffix = "; " + remedy;
        String text = message.endsWith(suffix) ? message.substring(0, message.length() - suffix.length()) : message;
        String code = body.path("error").asText("");
        ErrorKind kind = code.isEmpty() ? errorKindOf(response.statusCode()) : ErrorKind.ofCode(code);
        return WaxwingheadException.of(kind, text, remedy);
    }

    private static ErrorKind errorKindOf(int status) {
        return status == ErrorKind.UNAVAILABLE.httpStatus() ? ErrorKind.UNAVAILABLE : ErrorKind.INTERNAL;
    }

    private static JsonNode parse(byte[] body) {
        try {
            JsonNode value = Manifests.jsonMapper().readTree(body);
            return value == null ? MissingNode.getInstance() : value;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
