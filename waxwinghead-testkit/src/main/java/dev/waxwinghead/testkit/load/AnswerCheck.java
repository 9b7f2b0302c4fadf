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

/** Tells the outcome of a request from its answer or failure. */
final class AnswerCheck {
    /** The whole and right answer came. */
    static final String ANSWERED = "answered";

    /** An answer came that was not the whole answer to this request. */
    static final String CORRUPTED = "corrupted";

    /** The connection broke off before the answer was whole. */
    static final String BROKEN = "broken";

    /** Nothing came in time. */
    static final String TIMEOUT = "timeout";

    /** No entry host could be reached. */
    static final String UNREACHABLE = "unreachable";

    private static final String OUTCOME_HEADER = "Waxwinghead-Outcome";
    private static final String DIGEST_HEADER = "Body-Digest";
    private static final int FIRST_ERROR_STATUS = 400;

    private AnswerCheck() {}

    static String outcome(LoadRequest request, HttpResponse<byte[]> answer) {
        Optional<String> outcome = answer.headers().firstValue(OUTCOME_HEADER);
        if (outcome.isEmpty() || !outcome.get().equals(ANSWERED)) {
            return outcome.orElse("unmarked") + "-" + answer.statusCode();
        }
        if (answer.statusCode() >= FIRST_ERROR_STATUS) {
            return "answered-" + answer.statusCode();
        }
        return whole(request, answer) ? ANSWERED : CORRUPTED;
    }

    private static boolean whole(LoadRequest request, HttpResponse<byte[]> answer) {
        Optional<String> digest = answer.headers().firstValue(DIGEST_HEADER);
        if (digest.isPresent() && !digest.get().equals(digestOf(answer.body()))) {
            return false;
        }
        byte[] expected = request.expectedBody();
        return expected == null || Arrays.equals(expected, answer.body());
    }

    static String outcome(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (surelyNotSent(cause)) {
            return UNREACHABLE;
        }
        return cause instanceof HttpTimeoutException ? TIMEOUT : BROKEN;
    }

    /** Tells whether no byte of the request can have reached an entry host. */
    static boolean surelyNotSent(Throwable failure) {
        Throwable cause = unwrap(failure);
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static String digestOf(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime has no SHA-256", e);
        }
    }
}
