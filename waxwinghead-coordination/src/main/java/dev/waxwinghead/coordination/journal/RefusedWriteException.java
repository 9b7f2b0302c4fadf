package dev.waxwinghead.coordination.journal;

import java.io.IOException;

/** Indicates that a write failed before anything depended on it, for example on a full disk. */
final class RefusedWriteException extends IOException {
    private static final long serialVersionUID = 1L;

    RefusedWriteException(IOException cause) {
        super(cause.getMessage(), cause);
    }
}
