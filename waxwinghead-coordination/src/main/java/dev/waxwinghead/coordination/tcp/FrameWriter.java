package dev.waxwinghead.coordination.tcp;

import java.io.IOException;
import java.time.Duration;

/** Writes the frames of an outbox to a connection, and a heartbeat whenever there is none for a while. */
final class FrameWriter {
    private final FrameConnection connection;
    private final Outbox outbox;
    private final long heartbeatNanos;

    FrameWriter(FrameConnection connection, Outbox outbox, Duration heartbeatInterval) {
        this.connection = connection;
        this.outbox = outbox;
        this.heartbeatNanos = heartbeatInterval.toNanos();
    }

    /** Writes until the connection fails, which closing it brings about. */
    void run() throws IOException, InterruptedException {
        while (true) {
            Outgoing next = outbox.poll(0);
            if (next == null) {
                connection.flush();
                next = outbox.poll(heartbeatNanos);
            }
            if (next == null) {
                connection.write(new Frame.Heartbeat());
            } else if (next.claim()) {
                connection.write(next.frame());
            }
        }
    }
}
