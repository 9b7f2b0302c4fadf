package dev.waxwinghead.model.error;

/**
 * Lists the kinds of error that callers, workers and operators can tell apart.
 *
 * <p>Each kind has a stable code for the wire, an HTTP status and an exit status of the command line.
 *
 * @since 0.1
 */
public enum ErrorKind {
    /** The input is malformed or out of range; sending it again unchanged fails again. */
    INVALID_INPUT("invalid-input", 400, 3),
    /** The named thing does not exist. */
    NOT_FOUND("not-found", 404, 4),
    /** Another change came first, or an id was used again with other content. */
    CONFLICT("conflict", 409, 5),
    /** The input is larger than the stated bound. */
    TOO_LARGE("too-large", 413, 3),
    /** A limit or quota is used up; the request was not run. */
    LIMITED("limited", 429, 6),
    /** A majority of the voters can't be reached; the change was not accepted. */
    NO_MAJORITY("no-majority", 503, 7),
    /** The process or the upstream is leaving or not ready; the request was not run. */
    UNAVAILABLE("unavailable", 503, 7),
    /** The deadline passed before an outcome was known. */
    DEADLINE_EXCEEDED("deadline-exceeded", 504, 8),
    /** Whether the request took effect can't be told. */
    UNKNOWN_OUTCOME("unknown-outcome", 502, 8),
    /** Stored data are damaged or can't be written. */
    STORAGE("storage", 500, 9),
    /** A peer speaks another protocol version or belongs to another cluster. */
    INCOMPATIBLE_PEER("incompatible-peer", 400, 9),
    /** A fault of this program. */
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
     * Returns the HTTP status that carries the kind.
     *
     * @return the status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the exit status of the command line for the kind.
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
     * @return the kind, {@link #INTERNAL} for a code that this version does not know
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
