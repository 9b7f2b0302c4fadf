package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.util.List;

/**
 * Sends what the acting scheduler has learned about the interference between images to the other hosts with a replica,
 * so that the next scheduler does not have to learn it again.
 */
final class InterferenceSharing {
    /** The interval at which estimates are sent: some kilobytes for a few dozen images. */
    static final long INTERVAL_MILLIS = 2000;

    /** The maximum number of estimates in a message. */
    private static final int MAX_ESTIMATES = 2000;

    private final PeerNetwork network;
    private final JobEngine engine;

    InterferenceSharing(PeerNetwork network, JobEngine engine) {
        this.network = network;
        this.engine = engine;
    }

    void register() {
        network.onMessage(PeerChannel.JOBS, this::receive);
    }

    /** Sends the estimates to all peers if this host acts as the scheduler. */
    void send() {
        List<PairEstimate> estimates = engine.interferenceEstimates();
        if (estimates.isEmpty()) {
            return;
        }
        byte[] message = pack(estimates.subList(0, Math.min(MAX_ESTIMATES, estimates.size())));
        network.peers().forEach(peer -> network.send(peer.host(), PeerChannel.JOBS, message));
    }

    private void receive(HostId from, byte[] message) {
        try {
            engine.adoptInterference(unpack(message));
        } catch (RuntimeException e) {
            Event.of("estimates-ignored").with("from", from).with("failure", e).write();
        }
    }

    static byte[] pack(List<PairEstimate> estimates) {
        return MessagePackCodec.pack(packer -> MessagePackCodec.list(packer, estimates, (out, estimate) -> {
            out.packString(estimate.image());
            out.packString(estimate.other());
            out.packDouble(estimate.increase());
            out.packDouble(estimate.variance());
        }));
    }

    static List<PairEstimate> unpack(byte[] message) {
        return MessagePackCodec.unpack(
                message,
                unpacker -> MessagePackCodec.list(
                        unpacker,
                        in -> new PairEstimate(
                                in.unpackString(), in.unpackString(), in.unpackDouble(), in.unpackDouble())));
    }
}
