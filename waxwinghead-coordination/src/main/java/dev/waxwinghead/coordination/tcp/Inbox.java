package dev.waxwinghead.coordination.tcp;

import java.io.IOException;

/**
 * Receives the frames of one peer in their order.
 *
 * <p>A peer that replaced its connection may still have frames under way on the old one: only the newest connection
 * delivers. The lock is held while a handler runs; no other lock is taken before it.
 */
final class Inbox {
    private volatile IncomingConnection current;

    /**
     * Makes a connection the one that delivers, and closes the one before it.
     *
     * @throws FrameException if the connection's greeting was seen before
     */
    synchronized void replace(IncomingConnection connection) throws FrameException {
        IncomingConnection before = current;
        if (before != null && before.id() == connection.id()) {
            throw new FrameException(FrameException.Reason.OUT_OF_ORDER, "the hello was repeated");
        }
        current = connection;
        if (before != null) {
            before.close();
        }
    }

    /** Delivers a frame; returns false if its connection was replaced. */
    synchronized boolean deliver(IncomingConnection connection, Frame frame) throws IOException {
        if (current != connection) {
            return false;
        }
        connection.receive(frame);
        return true;
    }

    /** Returns when something arrived last; takes no lock. */
    long lastHeardNanos() {
        IncomingConnection connection = current;
        return connection == null ? Long.MIN_VALUE : connection.lastHeardNanos();
    }
}
