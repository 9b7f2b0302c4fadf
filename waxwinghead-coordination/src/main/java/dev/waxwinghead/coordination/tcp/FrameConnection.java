package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.model.time.Ticker;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;

/**
 * Reads and writes frames on one connection, each preceded by its length as a four-byte integer.
 *
 * <p>One thread reads and another one writes. Frames are numbered from 1 in each direction, so that lost, repeated or
 * reordered frames are detected.
 */
final class FrameConnection implements AutoCloseable {
    /** The maximum size of a frame during the handshake, in bytes. */
    static final int MAX_HANDSHAKE_BYTES = 4 << 10;

    private static final int BUFFER_BYTES = 16 << 10;

    /** Limits the data that queues in the kernel ahead of a heartbeat when the peer is slow, in bytes. */
    private static final int SEND_BUFFER_BYTES = 256 << 10;

    private final Socket socket;
    private final DataInputStream input;
    private final DataOutputStream output;
    private final TcpPeerCounters counters;
    private final Ticker ticker;
    private int maxFrameBytes = MAX_HANDSHAKE_BYTES;
    private long nextReadNumber = 1;
    private long nextWriteNumber = 1;
    private volatile long lastHeardNanos;

    private FrameConnection(Socket socket, TcpPeerCounters counters, Ticker ticker) throws IOException {
        this.socket = socket;
        this.input = new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES));
        this.output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
        this.counters = counters;
        this.ticker = ticker;
        this.lastHeardNanos = ticker.nanos();
    }

    /**
     * Returns a connection over an open socket.
     *
     * @param silenceTimeout the time without a received byte after which a read fails
     */
    static FrameConnection of(Socket socket, Duration silenceTimeout, TcpPeerCounters counters, Ticker ticker)
            throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSendBufferSize(SEND_BUFFER_BYTES);
        socket.setSoTimeout((int) silenceTimeout.toMillis());
        return new FrameConnection(socket, counters, ticker);
    }

    /** Raises the frame limit from that of the handshake to that of payloads of the given size. */
    void setMaxPayloadBytes(int maxPayloadBytes) {
        maxFrameBytes = Math.max(MAX_HANDSHAKE_BYTES, maxPayloadBytes + Frame.MAX_OVERHEAD_BYTES);
    }

    /** Reads the next frame; fails with {@link java.net.SocketTimeoutException} if nothing arrives in time. */
    Frame read() throws IOException {
        int length = input.readInt();
        if (length < 1 || length > maxFrameBytes) {
            throw new FrameException(
                    FrameException.Reason.OVERSIZED,
                    "frame length of " + length + " bytes is not between 1 and " + maxFrameBytes);
        }
        byte[] bytes = new byte[length];
        input.readFully(bytes);
        Frame frame = FrameCodec.decode(bytes, nextReadNumber);
        nextReadNumber++;
        lastHeardNanos = ticker.nanos();
        counters.countReceived(frame, Integer.BYTES + length);
        return frame;
    }

    void write(Frame frame) throws IOException {
        byte[] head = FrameCodec.encodeHead(nextWriteNumber, frame);
        byte[] payload = frame.payload();
        nextWriteNumber++;
        output.writeInt(head.length + payload.length);
        output.write(head);
        output.write(payload);
        counters.countSent(frame, Integer.BYTES + head.length + payload.length);
    }

    void flush() throws IOException {
        output.flush();
    }

    long lastHeardNanos() {
        return lastHeardNanos;
    }

    /** Returns the IP address of the other side. */
    String remoteHost() {
        return socket.getInetAddress().getHostAddress();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            counters.countFailedClose();
        }
    }
}
