package dev.waxwinghead.coordination.peer;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Exchanges messages and calls with the other entry hosts.
 *
 * <p>Handlers run on threads of the network and must not block. Messages and calls of one peer and channel are handled
 * in the order of arrival, and none of an earlier connection after one of a later connection.
 *
 * @since 0.1
 */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Returns the local entry host.
     *
     * @return the id, never null
     */
    HostId self();

    /**
     * Sends a message if the peer is connected. The message may be lost, but the network never delivers it twice.
     *
     * @param to the receiver
     * @param channel the channel
     * @param message the message, not null, at most as long as the frame limit
     */
    void send(HostId to, PeerChannel channel, byte[] message);

    /**
     * Sends a request and returns a future of the answer. The request is sent at most once.
     *
     * @param to the receiver
     * @param channel the channel
     * @param request the request, not null, at most as long as the frame limit
     * @param deadline the time after which the future fails, not null
     * @return a future of the answer, never null; fails with kind {@code UNAVAILABLE} if the request was definitely not
     *     sent, and {@code UNKNOWN_OUTCOME} otherwise
     */
    CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline);

    /**
     * Sets the handler for the messages of a channel.
     *
     * @param channel the channel, not null
     * @param handler the handler, not null
     */
    void onMessage(PeerChannel channel, MessageHandler handler);

    /**
     * Sets the handler for the calls of a channel.
     *
     * @param channel the channel, not null
     * @param handler the handler, not null
     */
    void onCall(PeerChannel channel, CallHandler handler);

    /**
     * Replaces the set of peers to connect to. The local host is ignored.
     *
     * @param peers all peers, not null
     */
    void setPeers(Collection<PeerAddress> peers);

    /**
     * Returns the connection status of each peer.
     *
     * @return one element per peer, never null
     */
    List<PeerStatus> peers();

    @Override
    void close();

    /** Handles messages. */
    @FunctionalInterface
    interface MessageHandler {
        /**
         * Handles a message.
         *
         * @param from the sender
         * @param message the message
         */
        void receive(HostId from, byte[] message);
    }

    /** Answers calls. */
    @FunctionalInterface
    interface CallHandler {
        /**
         * Answers a call. A failure is passed to the caller as a typed failure of the same kind and with the same
         * remedy.
         *
         * @param from the sender
         * @param request the request
         * @return a future of the answer, never null
         */
        CompletableFuture<byte[]> answer(HostId from, byte[] request);
    }

    /**
     * Describes the connection to a peer.
     *
     * @param host the peer
     * @param dataCentre the data centre of the peer
     * @param connected whether a connection is open and a frame arrived on it within the silence timeout
     * @param lastHeardNanos the time of the last arrival from the peer, in nanoseconds of the ticker of the network;
     *     {@link Long#MIN_VALUE} if there was none
     */
    record PeerStatus(HostId host, DataCentreId dataCentre, boolean connected, long lastHeardNanos) {}
}
