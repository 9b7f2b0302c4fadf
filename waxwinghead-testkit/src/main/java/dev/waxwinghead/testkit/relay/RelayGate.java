package dev.waxwinghead.testkit.relay;

/** Holds what a relay does with all its connections, and lets their threads wait while it is frozen. */
final class RelayGate {
    private Mode mode = Mode.PASSING;

    synchronized void set(Mode next) {
        mode = next;
        notifyAll();
    }

    synchronized Mode mode() {
        return mode;
    }

    synchronized void awaitThawed() throws InterruptedException {
        while (mode == Mode.FROZEN) {
            wait();
        }
    }

    /** Lists what a relay can do with its connections. */
    enum Mode {
        /** Passes bytes on. */
        PASSING,
        /** Holds bytes back. */
        FROZEN,
        /** Loses bytes. */
        DROPPING,
        /** Closes new connections at once. */
        REFUSING
    }
}
