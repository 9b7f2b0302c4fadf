package dev.waxwinghead.daemon.operator;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.configuration.ConfigurationView;
import dev.waxwinghead.model.id.HostId;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/** Broadcasts the revision in force on this host to the other entry hosts and records the revisions they report. */
final class RevisionGossip {
    /** The time between two broadcasts, in milliseconds. */
    static final long INTERVAL_MILLIS = 500;

    private final PeerNetwork peers;
    private final ConfigurationView view;
    private final Map<HostId, Long> revisions = new ConcurrentHashMap<>();

    RevisionGossip(PeerNetwork peers, ConfigurationView view) {
        this.peers = peers;
        this.view = view;
    }

    void start() {
        peers.onMessage(PeerChannel.STATUS, this::receive);
    }

    void broadcast() {
        byte[] message = ByteBuffer.allocate(Long.BYTES)
                .putLong(view.current().revision())
                .array();
        for (PeerNetwork.PeerStatus peer : peers.peers()) {
            peers.send(peer.host(), PeerChannel.STATUS, message);
        }
    }

    OptionalLong revision(HostId host) {
        Long revision = revisions.get(host);
        return revision == null ? OptionalLong.empty() : OptionalLong.of(revision);
    }

    private void receive(HostId from, byte[] message) {
        if (message.length == Long.BYTES) {
            revisions.put(from, ByteBuffer.wrap(message).getLong());
        }
    }
}
