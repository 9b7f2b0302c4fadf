package dev.waxwinghead.coordination.tcp;

/** A frame in an {@link Outbox}, notified of whether the frame is written. */
interface OutgoingFrame {
    /** Returns the frame to write. */
    Frame.ChannelFrame frame();

    /** Returns whether the frame may be dropped in favour of a newer one. */
    boolean droppable();

    /** Marks the frame as being written; returns false if the frame must no longer be written. */
    boolean beginWrite();

    /** Notifies the sender that the frame will not be written or, if already sent, not be answered. */
    void abandon(String reason);

    /**
     * Returns an outgoing frame whose sender needs no notification.
     *
     * @param frame the frame, never null
     * @param droppable whether the frame may be dropped in favour of a newer one
     */
    static OutgoingFrame of(Frame.ChannelFrame frame, boolean droppable) {
        return new UntrackedFrame(frame, droppable);
    }

    /** A frame whose sender is not notified. */
    record UntrackedFrame(Frame.ChannelFrame frame, boolean droppable) implements OutgoingFrame {
        @Override
        public boolean beginWrite() {
            return true;
        }

        @Override
        public void abandon(String reason) {}
    }
}
