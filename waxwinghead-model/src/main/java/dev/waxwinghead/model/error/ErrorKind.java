package dev.waxwinghead.model.error;

/**
 * Enumerates the kinds of error that callers, workers and operators can distinguish.
 *
 * <p>Each kind has a stable code on the wire, an HTTP status and an exit status for command-line programs.
 *
 * @since 0.1
 */
public enum ErrorKind {
    /** The input is malformed or out of range; sending it again unchanged fails again. */
    INVALID_INPUT("invalid-input", 400, 3),
    /** The requested resource does not exist. */
    NOT_FOUND("not-found", 404, 4),
    /** Another change was made first, or an id was reused with different content. */
    CONFLICT("conflict", 409, 5),
    /** The input exceeds a size limit. */
    TOO_LARGE("too-large", 413, 3),
    /** A limit or quota is exhausted; the request was not run. */
    LIMITED("limited", 429, 6),
    /** A majority of the voters can't be reached; the change was not accepted. */
    NO_MAJORITY("no-majority", 503, 7),
    /** The process or the upstream is shutting down or not ready; the request was not run. */
    UNAVAILABLE("unavailable", 503, 7),
    /** The deadline passed before an outcome was known. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504, 8),
    /** Whether the request took effect is unknown. */
    UNKNOWN_OUTCOME("unknown-outcome", 502, 8),
    /** Stored data is corrupt or can't be written. */
    STORAGE("storage", 500, 9),
    /** A peer uses another protocol version or belongs to another cluster. */
    INCOMPATIBLE_PEER("incompatible-peer", 400, 9),
    /** An unexpected condition, caused by a defect in the program. */
    INTERNAL("internal", 500, 10);

    private final String code;
    private final int httpStatus;
    private final int exitStatus;

    ErrorKind(String code, int httpStatus, int exitStatus) {
        this.code = code;
        this.httpStatus = httpStatus;
        this.exitStatus = exitStatus;
    }

    /**
     * Returns the stable code of the kind on the wire.
     *
     * @return the code, never null
     */
    public String code() {
        return code;
    }

    /**
     * Returns the HTTP status of responses that report the kind.
     *
     * @return the HTTP status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the exit status with which a program reports the kind.
     *
     * @return the exit status
     */
    public int exitStatus() {
        return exitStatus;
    }

    /**
     * Returns the kind with the given code.
     *
     * @param code the code on the wire
     * @return the kind, or {@link #INTERNAL} if the code is unknown to this version; never null
     */
    public static ErrorKind ofCode(String code) {
        for (ErrorKind kind : values()) {
            if (kind.code.equals(code)) {
                return kind;
            }
        }
        return INTERNAL;
    }
}
