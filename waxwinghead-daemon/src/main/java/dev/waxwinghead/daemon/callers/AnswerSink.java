package dev.waxwinghead.daemon.callers;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Receives the body of an answer as it arrives. Unless noted otherwise, called by one thread at a time. */
interface AnswerSink {
    /**
     * Writes the next bytes.
     *
     * @throws IOException if the caller has closed the connection
     */
    void write(ByteBuffer bytes) throws IOException;

    /** Ends a complete body. */
    void finish();

    /** Ends a truncated body, so that the caller can tell it from a complete one. */
    void abort(Throwable cause);

    /**
     * Closes the caller's connection, so that a blocked write fails. May be called by any thread; {@link #abort} still
     * follows.
     */
    void closeConnection();
}
