package dev.waxwinghead.model.error;

import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

/**
 * Reports a typed failure: its kind, what happened and what to do about it.
 *
 * <p>Asynchronous calls fail their {@link java.util.concurrent.CompletableFuture} with it.
 *
 * @since 0.1
 */
public final class WaxwingheadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What went wrong, as a type. */
    private final ErrorKind kind;

    /** What happened, without the remedy. */
    private final String reason;

    /** What the reader can do about it. */
    private final String remedy;

    private WaxwingheadException(ErrorKind kind, String message, String remedy, Throwable cause) {
        super(message + "; " + remedy, cause);
        this.kind = kind;
        this.reason = message;
        this.remedy = remedy;
    }

    /**
     * Returns a failure without a cause.
     *
     * @param kind the kind
     * @param message what happened
     * @param remedy what to do about it
     * @return the failure, never null
     */
    public static WaxwingheadException of(ErrorKind kind, String message, String remedy) {
        return new WaxwingheadException(kind, message, remedy, null);
    }

    /**
     * Returns a failure with a cause.
     *
     * @param kind the kind
     * @param message what happened
     * @param remedy what to do about it
     * @param cause the cause
     * @return the failure, never null
     */
    public static WaxwingheadException of(ErrorKind kind, String message, String remedy, Throwable cause) {
        return new WaxwingheadException(kind, message, remedy, cause);
    }

    /**
     * Returns the typed failure behind a throwable, unwrapping the wrappers of futures.
     *
     * @param failure any throwable
     * @return the typed failure, of kind {@link ErrorKind#INTERNAL} where there is none
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
     * Returns what happened, without the remedy: to be told within another failure, which has its own.
     *
     * @return the reason, never null
     */
    public String reason() {
        return reason;
    }

    /**
     * Returns what to do about the failure.
     *
     * @return the remedy, never null
     */
    public String remedy() {
        return remedy;
    }
}
