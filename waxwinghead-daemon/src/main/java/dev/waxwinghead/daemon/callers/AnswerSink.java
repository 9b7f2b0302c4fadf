package dev.waxwinghead.daemon.callers;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Receives the body of an answer as it arrives, from one thread at a time. */
interface AnswerSink {
    /** Takes the next bytes; fails if the caller has gone. */
    void write(ByteBuffer bytes) throws IOException;

    /** Ends the body: it is whole. */
    void finish();

    /** Breaks the body off: it is not whole. */
    void abort(Throwable cause);

    /** Makes a write that is blocked fail. May be called from any thread; {@link #abort} still follows. */
    void breakOff();
}
