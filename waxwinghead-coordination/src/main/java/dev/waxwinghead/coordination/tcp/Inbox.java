package dev.waxwinghead.coordination.tcp;

import java.io.IOException;

/**
 * Delivers the frames of one peer in order.
 *
 * <p>When a peer has replaced its connection, frames may still arrive on the old one, so only the newest connection
 * delivers frames. The lock is held while a handler runs; no other lock is acquired before it.
 */
final class Inbox {
    private volatile IncomingConnection current;

    /**
     * Makes a connection the only one that delivers frames, and closes the previous connection.
     *
     * @throws FrameException if the hello of the connection has the connection id of the previous one
     */
    synchronized void replace(IncomingConnection connection) throws FrameException {
        IncomingConnection previous = current;
        if (previous != null && previous.id() == connection.id()) {
            throw new FrameException(
                    FrameException.Reason.OUT_OF_ORDER, "the hello frame repeats the id of the current connection");
        }
        current = connection;
        if (previous != null) {
            previous.close();
        }
    }

    /** Delivers a frame; returns false if the connection has been replaced. */
    synchronized boolean deliver(IncomingConnection connection, Frame frame) throws IOException {
        if (current != connection) {
            return false;
        }
        connection.receive(frame);
        return true;
    }

    /** Returns when the last frame arrived, in ticker nanoseconds; acquires no lock. */
    long lastHeardNanos() {
        IncomingConnection connection = current;
        return connection == null ? Long.MIN_VALUE : connection.lastHeardNanos();
    }
}
