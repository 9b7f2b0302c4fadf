package dev.waxwinghead.coordination.consensus;

/**
 * Thrown if bytes can't be decoded as a message. The receiver drops and counts such messages.
 *
 * @since 0.1
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message a description of the malformed part
     */
    public MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
