package dev.waxwinghead.coordination.tcp;

import java.io.IOException;
import java.time.Duration;

/** Writes the frames of an outbox to a connection, and a heartbeat when none arrives within the heartbeat interval. */
final class FrameWriter {
    private final FrameConnection connection;
    private final Outbox outbox;
    private final long heartbeatNanos;

    FrameWriter(FrameConnection connection, Outbox outbox, Duration heartbeatInterval) {
        this.connection = connection;
        this.outbox = outbox;
        this.heartbeatNanos = heartbeatInterval.toNanos();
    }

    /** Writes until the connection fails or is closed. */
    void run() throws IOException, InterruptedException {
        while (true) {
            OutgoingFrame next = outbox.poll(0);
            if (next == null) {
                connection.flush();
                next = outbox.poll(heartbeatNanos);
            }
            if (next == null) {
                connection.write(new Frame.Heartbeat());
            } else if (next.beginWrite()) {
                connection.write(next.frame());
            }
        }
    }
}
