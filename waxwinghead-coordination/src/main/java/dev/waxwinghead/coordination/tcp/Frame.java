package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;

/** A unit of the protocol between two entry hosts. */
sealed interface Frame {
    /** The maximum size of a frame without its payload and texts, in bytes. */
    int MAX_OVERHEAD_BYTES = 64;

    /** Returns the payload at the end of the frame, empty if frames of this type have none. */
    default byte[] payload() {
        return new byte[0];
    }

    /** A frame that belongs to a channel. */
    sealed interface ChannelFrame extends Frame {
        /** Returns the channel that the frame belongs to. */
        PeerChannel channel();
    }

    /**
     * Opens a connection. The layout is the same in all protocol versions.
     *
     * @param version the protocol version of the dialling host
     * @param cluster the cluster of the dialling host
     * @param host the id of the dialling host
     * @param dataCentre the data centre of the dialling host
     * @param target the entry host that the dialling host expects at this address
     * @param connectionId a random number that identifies the connection
     * @param nonce a random number that the welcome must repeat
     */
    record Hello(
            int version,
            String cluster,
            HostId host,
            DataCentreId dataCentre,
            HostId target,
            long connectionId,
            long nonce)
            implements Frame {}

    /**
     * Accepts a connection.
     *
     * @param version the protocol version of the accepting host
     * @param cluster the cluster of the accepting host
     * @param host the id of the accepting host
     * @param dataCentre the data centre of the accepting host
     * @param nonce the nonce of the hello
     */
    record Welcome(int version, String cluster, HostId host, DataCentreId dataCentre, long nonce) implements Frame {}

    /**
     * Refuses a connection.
     *
     * @param code the code of the error kind
     * @param message the reason for the refusal
     * @param remedy the suggested remedy
     */
    record Refused(String code, String message, String remedy) implements Frame {}

    /** Shows that the sender is alive. */
    record Heartbeat() implements Frame {}

    /**
     * Carries a message.
     *
     * @param channel the channel
     * @param payload the message
     */
    @SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
    record Message(PeerChannel channel, byte[] payload) implements ChannelFrame {}

    /**
     * Carries a call.
     *
     * @param channel the channel
     * @param id the id of the call, unique on this connection
     * @param payload the request
     */
    @SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
    record Call(PeerChannel channel, long id, byte[] payload) implements ChannelFrame {}

    /**
     * Carries the answer to a call.
     *
     * @param channel the channel of the call
     * @param id the id of the call
     * @param payload the answer
     */
    @SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
    record Answer(PeerChannel channel, long id, byte[] payload) implements ChannelFrame {}

    /**
     * Carries the failure of a call.
     *
     * @param channel the channel of the call
     * @param id the id of the call
     * @param code the code of the error kind
     * @param message the message of the failure
     * @param remedy the suggested remedy
     */
    record Failure(PeerChannel channel, long id, String code, String message, String remedy) implements ChannelFrame {}
}
