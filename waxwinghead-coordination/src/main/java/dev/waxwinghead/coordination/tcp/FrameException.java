package dev.waxwinghead.coordination.tcp;

import java.io.IOException;

/** Reports a violation of the protocol by the other side, after which the connection is closed. */
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

    /** The kinds of protocol violation. */
    enum Reason {
        /** A frame can't be decoded. */
        MALFORMED,
        /** The length of a frame is not positive or exceeds the limit. */
        OVERSIZED,
        /** The number of a frame is not the next one: frames were repeated, reordered or lost. */
        OUT_OF_ORDER,
        /** A frame has a type that is not allowed at this point. */
        UNEXPECTED
    }
}
