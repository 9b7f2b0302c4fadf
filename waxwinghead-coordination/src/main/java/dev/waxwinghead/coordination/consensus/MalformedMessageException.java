package dev.waxwinghead.coordination.consensus;

/**
 * Reports bytes that are not a well-formed message. The receiver drops and counts them.
 *
 * @since 0.1
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Makes a report.
     *
     * @param message what is malformed
     */
    public MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
