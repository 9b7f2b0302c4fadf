package dev.waxwinghead.model.error;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/**
 * Reports a failure with its {@link ErrorKind}, the reason and a remedy.
 *
 * <p>Asynchronous calls complete their {@link java.util.concurrent.CompletableFuture} exceptionally with this
 * exception.
 *
 * @since 0.1
 */
public final class WaxwingheadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /** The message without the remedy. */
    private final String reason;

    private final String remedy;

    private WaxwingheadException(ErrorKind kind, String message, String remedy, Throwable cause) {
        super(message + "; " + remedy, cause);
        this.kind = kind;
        this.reason = message;
        this.remedy = remedy;
    }

    /**
     * Creates an exception without a cause.
     *
     * @param kind the kind of the failure
     * @param message a description of the failure
     * @param remedy an instruction that tells the reader how to resolve the failure
     * @return the exception, never null
     */
    public static WaxwingheadException of(ErrorKind kind, String message, String remedy) {
        return new WaxwingheadException(kind, message, remedy, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind the kind of the failure
     * @param message a description of the failure
     * @param remedy an instruction that tells the reader how to resolve the failure
     * @param cause the cause, may be null
     * @return the exception, never null
     */
    public static WaxwingheadException of(ErrorKind kind, String message, String remedy, Throwable cause) {
        return new WaxwingheadException(kind, message, remedy, cause);
    }

    /**
     * Converts a throwable to this type. The exceptions that futures wrap around a failure are removed first.
     *
     * @param failure any throwable
     * @return the wrapped {@link WaxwingheadException}, or a new one of kind {@link ErrorKind#INTERNAL} for any other
     *     type; never null
     */
    public static WaxwingheadException from(Throwable failure) {
        Throwable cause = failure;
        while ((cause instanceof CompletionException || cause instanceof ExecutionException)
                && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof WaxwingheadException typed) {
            return typed;
        }
        return of(ErrorKind.INTERNAL, "unexpected " + cause, "report it with the log lines around this moment", cause);
    }

    /**
     * Returns the kind of the failure.
     *
     * @return the kind, never null
     */
    public ErrorKind kind() {
        return kind;
    }

    /**
     * Returns the message without the remedy, for use in the message of another failure that has a remedy of its own.
     *
     * @return the reason, never null
     */
    public String reason() {
        return reason;
    }

    /**
     * Returns the instruction that tells the reader how to resolve the failure.
     *
     * @return the remedy, never null
     */
    public String remedy() {
        return remedy;
    }
}
