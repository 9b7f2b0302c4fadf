package dev.waxwinghead.coordination.peer;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.time.Deadline;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Exchanges messages with the other entry hosts.
 *
 * <p>Handlers run on threads of the network, for one peer and channel in the order of arrival, and must not block.
 *
 * @since 0.1
 */
public interface PeerNetwork extends AutoCloseable {
    /**
     * Returns the entry host on this side.
     *
     * @return the id, never null
     */
    HostId self();

    /**
     * Sends a message if the peer is connected. It may be lost; it is never delivered twice by the network.
     *
     * @param to the receiver
     * @param channel the channel
     * @param message the message, at most the frame bound
     */
    void send(HostId to, PeerChannel channel, byte[] message);

    /**
     * Sends a request and waits for its answer. The request is sent at most once.
     *
     * @param to the receiver
     * @param channel the channel
     * @param request the request, at most the frame bound
     * @param deadline when to give up
     * @return the answer; fails with kind {@code UNAVAILABLE} if the request was surely not sent, and
     *     {@code UNKNOWN_OUTCOME} otherwise
     */
    CompletableFuture<byte[]> call(HostId to, PeerChannel channel, byte[] request, Deadline deadline);

    /**
     * Sets the receiver of the messages of a channel.
     *
     * @param channel the channel
     * @param handler the receiver
     */
    void onMessage(PeerChannel channel, MessageHandler handler);

    /**
     * Sets the receiver of the calls of a channel.
     *
     * @param channel the channel
     * @param handler the receiver
     */
    void onCall(PeerChannel channel, CallHandler handler);

    /**
     * Replaces the set of peers to keep connections to. The own host is passed over.
     *
     * @param peers all peers
     */
    void setPeers(Collection<PeerAddress> peers);

    /**
     * Returns the state of each peer.
     *
     * @return one element per peer, never null
     */
    List<PeerStatus> peers();

    @Override
    void close();

    /** Receives messages. */
    @FunctionalInterface
    interface MessageHandler {
        /**
         * Receives a message.
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
         * Answers a call. A failure reaches the caller as a typed failure of the same kind and remedy.
         *
         * @param from the sender
         * @param request the request
         * @return the answer
         */
        CompletableFuture<byte[]> answer(HostId from, byte[] request);
    }

    /**
     * Describes the connection to a peer.
     *
     * @param host the peer
     * @param dataCentre its data centre
     * @param connected whether a connection stands and was heard from within the heartbeat timeout
     * @param lastHeardNanos when something last arrived from it, by the network's ticker; {@link Long#MIN_VALUE} if
     *     never
     */
    record PeerStatus(HostId host, DataCentreId dataCentre, boolean connected, long lastHeardNanos) {}
}
