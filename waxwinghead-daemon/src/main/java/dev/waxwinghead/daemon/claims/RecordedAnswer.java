package dev.waxwinghead.daemon.claims;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The recorded answer of an upstream. Immutable by convention: callers must not change the body. */
public final class RecordedAnswer {
    /** The size limit of a recorded body, in bytes. */
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
     * Creates an answer.
     *
     * @param status the HTTP status
     * @param upstream the id of the upstream that answered
     * @param headers the end-to-end headers
     * @param body the whole body, at most {@link #MAX_BODY_BYTES} bytes
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
     * Returns the upstream that answered.
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
