package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a {@link TcpPeerNetwork} did since it was opened. Bytes include the framing but not TCP's own headers.
 *
 * @since 0.1
 */
public final class TcpPeerCounters {
    private final Map<PeerChannel, LongAdder> framesIn = adders();
    private final Map<PeerChannel, LongAdder> framesOut = adders();
    private final Map<PeerChannel, LongAdder> bytesIn = adders();
    private final Map<PeerChannel, LongAdder> bytesOut = adders();
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
     * Returns the frames received on a channel.
     *
     * @param channel the channel
     * @return the number of frames
     */
    public long framesIn(PeerChannel channel) {
        return framesIn.get(channel).sum();
    }

    /**
     * Returns the frames sent on a channel.
     *
     * @param channel the channel
     * @return the number of frames
     */
    public long framesOut(PeerChannel channel) {
        return framesOut.get(channel).sum();
    }

    /**
     * Returns the bytes received on a channel.
     *
     * @param channel the channel
     * @return the number of bytes
     */
    public long bytesIn(PeerChannel channel) {
        return bytesIn.get(channel).sum();
    }

    /**
     * Returns the bytes sent on a channel.
     *
     * @param channel the channel
     * @return the number of bytes
     */
    public long bytesOut(PeerChannel channel) {
        return bytesOut.get(channel).sum();
    }

    /**
     * Returns the bytes received in handshakes and heartbeats.
     *
     * @return the number of bytes
     */
    public long controlBytesIn() {
        return controlBytesIn.sum();
    }

    /**
     * Returns the bytes sent in handshakes and heartbeats.
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
     * Returns the number of messages that were dropped because the peer was not connected, its queue was full or nobody
     * received them.
     *
     * @return the number
     */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    /**
     * Returns the number of frames that broke the protocol and closed their connection.
     *
     * @return the number
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Returns the number of connections that were closed because nothing arrived on them.
     *
     * @return the number
     */
    public long silentConnections() {
        return silentConnections.sum();
    }

    /**
     * Returns the number of messages whose handler threw.
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

    void countIn(Frame frame, int bytes) {
        if (frame instanceof Frame.OnChannel onChannel) {
            framesIn.get(onChannel.channel()).increment();
            bytesIn.get(onChannel.channel()).add(bytes);
        } else {
            controlBytesIn.add(bytes);
        }
    }

    void countOut(Frame frame, int bytes) {
        if (frame instanceof Frame.OnChannel onChannel) {
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

    private static Map<PeerChannel, LongAdder> adders() {
        Map<PeerChannel, LongAdder> adders = new EnumMap<>(PeerChannel.class);
        for (PeerChannel channel : PeerChannel.values()) {
            adders.put(channel, new LongAdder());
        }
        return adders;
    }
}
