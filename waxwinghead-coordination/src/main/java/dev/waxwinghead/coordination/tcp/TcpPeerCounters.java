package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the activity of a {@link TcpPeerNetwork} since its opening. Byte counts include the framing, but not the
 * headers of TCP.
 *
 * @since 0.1
 */
public final class TcpPeerCounters {
    private final Map<PeerChannel, LongAdder> framesIn = createAdders();
    private final Map<PeerChannel, LongAdder> framesOut = createAdders();
    private final Map<PeerChannel, LongAdder> bytesIn = createAdders();
    private final Map<PeerChannel, LongAdder> bytesOut = createAdders();
    private final LongAdder controlBytesIn = new LongAdder();
    private final LongAdder controlBytesOut = new LongAdder();
    private final LongAdder reconnects = new LongAdder();
    private final LongAdder refusedHandshakes = new LongAdder();
    private final LongAdder droppedMessages = new LongAdder();
    private final LongAdder malformedFrames = new LongAdder();
    private final LongAdder silentConnections = new LongAdder();
    private final LongAdder failedHandlers = new LongAdder();
    private final LongAdder failedCloses = new LongAdder();

    TcpPeerCounters() {}

    /**
     * Returns the number of frames received on a channel.
     *
     * @param channel the channel
     * @return the number of frames
     */
    public long framesIn(PeerChannel channel) {
        return framesIn.get(channel).sum();
    }

    /**
     * Returns the number of frames sent on a channel.
     *
     * @param channel the channel
     * @return the number of frames
     */
    public long framesOut(PeerChannel channel) {
        return framesOut.get(channel).sum();
    }

    /**
     * Returns the number of bytes received on a channel.
     *
     * @param channel the channel
     * @return the number of bytes
     */
    public long bytesIn(PeerChannel channel) {
        return bytesIn.get(channel).sum();
    }

    /**
     * Returns the number of bytes sent on a channel.
     *
     * @param channel the channel
     * @return the number of bytes
     */
    public long bytesOut(PeerChannel channel) {
        return bytesOut.get(channel).sum();
    }

    /**
     * Returns the number of bytes received in handshakes and heartbeats.
     *
     * @return the number of bytes
     */
    public long controlBytesIn() {
        return controlBytesIn.sum();
    }

    /**
     * Returns the number of bytes sent in handshakes and heartbeats.
     *
     * @return the number of bytes
     */
    public long controlBytesOut() {
        return controlBytesOut.sum();
    }

    /**
     * Returns the number of connections that replaced an earlier one to the same peer.
     *
     * @return the number
     */
    public long reconnects() {
        return reconnects.sum();
    }

    /**
     * Returns the number of handshakes that either side refused.
     *
     * @return the number
     */
    public long refusedHandshakes() {
        return refusedHandshakes.sum();
    }

    /**
     * Returns the number of messages dropped because the peer was not connected, its queue was full, or no handler was
     * registered.
     *
     * @return the number
     */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    /**
     * Returns the number of frames that violated the protocol and caused their connection to be closed.
     *
     * @return the number
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Returns the number of connections closed because nothing arrived within the silence timeout.
     *
     * @return the number
     */
    public long silentConnections() {
        return silentConnections.sum();
    }

    /**
     * Returns the number of messages whose handler threw an exception.
     *
     * @return the number
     */
    public long failedHandlers() {
        return failedHandlers.sum();
    }

    /**
     * Returns the number of sockets that failed to close.
     *
     * @return the number
     */
    public long failedCloses() {
        return failedCloses.sum();
    }

    void countReceived(Frame frame, int bytes) {
        if (frame instanceof Frame.ChannelFrame onChannel) {
            framesIn.get(onChannel.channel()).increment();
            bytesIn.get(onChannel.channel()).add(bytes);
        } else {
            controlBytesIn.add(bytes);
        }
    }

    void countSent(Frame frame, int bytes) {
        if (frame instanceof Frame.ChannelFrame onChannel) {
            framesOut.get(onChannel.channel()).increment();
            bytesOut.get(onChannel.channel()).add(bytes);
        } else {
            controlBytesOut.add(bytes);
        }
    }

    void countReconnect() {
        reconnects.increment();
    }

    void countRefusedHandshake() {
        refusedHandshakes.increment();
    }

    void countDroppedMessage() {
        droppedMessages.increment();
    }

    void countMalformedFrame() {
        malformedFrames.increment();
    }

    void countSilentConnection() {
        silentConnections.increment();
    }

    void countFailedHandler() {
        failedHandlers.increment();
    }

    void countFailedClose() {
        failedCloses.increment();
    }

    private static Map<PeerChannel, LongAdder> createAdders() {
        Map<PeerChannel, LongAdder> adders = new EnumMap<>(PeerChannel.class);
        for (PeerChannel channel : PeerChannel.values()) {
            adders.put(channel, new LongAdder());
        }
        return adders;
    }
}
