package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;

/** What travels between two entry hosts. */
sealed interface Frame {
    /** The bytes of a frame beside its payload and its texts, at most. */
    int MAX_OVERHEAD_BYTES = 64;

    /** Returns the bytes at the end of the frame, empty where its type has none. */
    default byte[] payload() {
        return new byte[0];
    }

    /** A frame that belongs to a channel. */
    sealed interface OnChannel extends Frame {
        /** Returns the channel. */
        PeerChannel channel();
    }

    /**
     * Opens a connection; its layout stays the same in all protocol versions.
     *
     * @param version the protocol version of the dialler
     * @param cluster its cluster
     * @param host its id
     * @param dataCentre its data centre
     * @param target the entry host it means to reach
     * @param connectionId a random number for the connection
     * @param nonce a random number that the welcome repeats
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
     * @param version the protocol version of the acceptor
     * @param cluster its cluster
     * @param host its id
     * @param dataCentre its data centre
     * @param nonce the nonce of the hello
     */
    record Welcome(int version, String cluster, HostId host, DataCentreId dataCentre, long nonce) implements Frame {}

    /**
     * Refuses a connection.
     *
     * @param code the code of the error kind
     * @param message what does not fit
     * @param remedy what to do about it
     */
    record Refused(String code, String message, String remedy) implements Frame {}

    /** Shows that the sender lives. */
    record Heartbeat() implements Frame {}

    /**
     * Carries a message.
     *
     * @param channel the channel
     * @param payload the message
     */
    @SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
    record Message(PeerChannel channel, byte[] payload) implements OnChannel {}

    /**
     * Carries a call.
     *
     * @param channel the channel
     * @param id the call's number on this connection
     * @param payload the request
     */
    @SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
    record Call(PeerChannel channel, long id, byte[] payload) implements OnChannel {}

    /**
     * Carries the answer to a call.
     *
     * @param channel the channel of the call
     * @param id the call's number
     * @param payload the answer
     */
    @SuppressWarnings("ArrayRecordComponent") // The payload is shared, never compared.
    record Answer(PeerChannel channel, long id, byte[] payload) implements OnChannel {}

    /**
     * Carries the failure of a call.
     *
     * @param channel the channel of the call
     * @param id the call's number
     * @param code the code of the error kind
     * @param message what happened
     * @param remedy what to do about it
     */
    record Failure(PeerChannel channel, long id, String code, String message, String remedy) implements OnChannel {}
}
