package dev.waxwinghead.coordination.tcp;

/** Waits in an {@link Outbox} to be written. */
interface Outgoing {
    /** Returns the frame to write. */
    Frame.OnChannel frame();

    /** Tells whether the frame may be dropped in favour of a newer one. */
    boolean droppable();

    /** Marks the frame as being written; returns false if it must not be written any more. */
    boolean claim();

    /** Ends the wait of a frame that was surely not written. */
    void abandon(String reason);

    /**
     * Returns a frame whose sender does not follow what becomes of it.
     *
     * @param frame the frame
     * @param droppable whether it may be dropped in favour of a newer one
     */
    static Outgoing of(Frame.OnChannel frame, boolean droppable) {
        return new Unfollowed(frame, droppable);
    }

    /** A frame whose sender does not follow what becomes of it. */
    record Unfollowed(Frame.OnChannel frame, boolean droppable) implements Outgoing {
        @Override
        public boolean claim() {
            return true;
        }

        @Override
        public void abandon(String reason) {}
    }
}
