package dev.waxwinghead.coordination.tcp;

import java.io.IOException;

/** Reports that the other side broke the protocol; the connection is closed. */
final class FrameException extends IOException {
    private static final long serialVersionUID = 1L;

    private final Reason reason;

    FrameException(Reason reason, String message) {
        super(reason + ": " + message);
        this.reason = reason;
    }

    Reason reason() {
        return reason;
    }

    /** Lists how the protocol can be broken. */
    enum Reason {
        /** A frame can't be decoded. */
        MALFORMED,
        /** A frame is longer than the bound. */
        OVERSIZED,
        /** A frame's number is not the next one: it was repeated, reordered or left out. */
        OUT_OF_ORDER,
        /** A frame is of a type that has no place here. */
        UNEXPECTED
    }
}
