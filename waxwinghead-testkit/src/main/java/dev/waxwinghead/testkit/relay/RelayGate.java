package dev.waxwinghead.testkit.relay;

/** Holds the mode that a relay applies to all connections, and blocks their threads while the mode is frozen. */
final class RelayGate {
    private Mode mode = Mode.PASSING;

    synchronized void set(Mode next) {
        mode = next;
        notifyAll();
    }

    synchronized Mode mode() {
        return mode;
    }

    synchronized void awaitNotFrozen() throws InterruptedException {
        while (mode == Mode.FROZEN) {
            wait();
        }
    }

    /** Enumerates the modes of a relay. */
    enum Mode {
        /** Relays all bytes. */
        PASSING,
        /** Holds all bytes back. */
        FROZEN,
        /** Discards all bytes. */
        DROPPING,
        /** Closes new connections at once. */
        REFUSING
    }
}
