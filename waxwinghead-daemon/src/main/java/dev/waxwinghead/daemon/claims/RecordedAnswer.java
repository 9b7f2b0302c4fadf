package dev.waxwinghead.daemon.claims;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Holds an upstream's answer as it is recorded. Immutable by convention: the body is not to be changed. */
public final class RecordedAnswer {
    /** The longest body that is recorded, in bytes. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private final int status;
    private final String upstream;
    private final Map<String, List<String>> headers;
    private final byte[] body;

    private RecordedAnswer(int status, String upstream, Map<String, List<String>> headers, byte[] body) {
        this.status = status;
        this.upstream = upstream;
        this.headers = Map.copyOf(headers);
        this.body = body;
    }

    /**
     * Returns an answer.
     *
     * @param status the HTTP status
     * @param upstream the upstream that gave it
     * @param headers the end-to-end headers
     * @param body the whole body, at most {@link #MAX_BODY_BYTES}
     * @return the answer, never null
     */
    public static RecordedAnswer of(int status, String upstream, Map<String, List<String>> headers, byte[] body) {
        Objects.requireNonNull(body, "body");
        if (body.length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("body has " + body.length + " bytes; at most " + MAX_BODY_BYTES);
        }
        return new RecordedAnswer(status, upstream, headers, body);
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the upstream that gave the answer.
     *
     * @return the id as text, never null
     */
    public String upstream() {
        return upstream;
    }

    /**
     * Returns the headers.
     *
     * @return the end-to-end headers, never null
     */
    public Map<String, List<String>> headers() {
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return the whole body, never null
     */
    public byte[] body() {
        return body;
    }
}
