package dev.waxwinghead.testkit.load;

import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/** Classifies the outcome of a request by its response or failure. */
final class ResponseCheck {
    /** The response was complete and correct. */
    static final String ANSWERED = "answered";

    /** The response was marked as answered, but its body was not the complete response to this request. */
    static final String CORRUPTED = "corrupted";

    /** The connection failed before the response was complete. */
    static final String BROKEN = "broken";

    /** No response arrived in time. */
    static final String TIMEOUT = "timeout";

    /** No connection to an entry host could be established. */
    static final String UNREACHABLE = "unreachable";

    private static final String OUTCOME_HEADER = "Waxwinghead-Outcome";
    private static final String DIGEST_HEADER = "Body-Digest";
    private static final int FIRST_ERROR_STATUS = 400;

    private ResponseCheck() {}

    static String outcome(LoadRequest request, HttpResponse<byte[]> response) {
        Optional<String> outcome = response.headers().firstValue(OUTCOME_HEADER);
        if (outcome.isEmpty() || !outcome.get().equals(ANSWERED)) {
            return outcome.orElse("unmarked") + "-" + response.statusCode();
        }
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            return "answered-" + response.statusCode();
        }
        return isCorrect(request, response) ? ANSWERED : CORRUPTED;
    }

    private static boolean isCorrect(LoadRequest request, HttpResponse<byte[]> response) {
        Optional<String> digest = response.headers().firstValue(DIGEST_HEADER);
        if (digest.isPresent() && !digest.get().equals(sha256Of(response.body()))) {
            return false;
        }
        byte[] expected = request.expectedBody();
        return expected == null || Arrays.equals(expected, response.body());
    }

    static String outcome(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (isConnectFailure(cause)) {
            return UNREACHABLE;
        }
        return cause instanceof HttpTimeoutException ? TIMEOUT : BROKEN;
    }

    /** Returns whether the connection was never established, so that the request can't have reached an entry host. */
    static boolean isConnectFailure(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static String sha256Of(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
