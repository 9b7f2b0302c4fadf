package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.util.List;
import java.util.function.Consumer;

/**
 * Holds what the acting scheduler has learned about the interference between images as a section of the shared state,
 * so that the next scheduler does not have to learn it again, also after all hosts have lost power.
 */
final class InterferenceSection implements StateSection {
    /** The maximum number of estimates, so that a command stays below 200 kB. */
    static final int MAX_ESTIMATES = 2000;

    private static final byte[] EMPTY_RESULT = {};

    private List<PairEstimate> estimates = List.of();
    private Consumer<List<PairEstimate>> listener = ignored -> {};

    /** Sets the listener, which gets the present estimates and each later list. The listener must not block. */
    synchronized void onChange(Consumer<List<PairEstimate>> consumer) {
        listener = consumer;
        listener.accept(estimates);
    }

    /** Returns the estimates that this host has applied last. */
    synchronized List<PairEstimate> estimates() {
        return estimates;
    }

    @Override
    public SectionId id() {
        return SectionId.INTERFERENCE;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        replace(command);
        return EMPTY_RESULT;
    }

    @Override
    public synchronized byte[] snapshot() {
        return pack(estimates);
    }

    @Override
    public void restore(byte[] snapshot) {
        replace(snapshot);
    }

    /** Replaces the estimates; unreadable ones are ignored, as they only spare the scheduler from learning. */
    private synchronized void replace(byte[] packed) {
        try {
            estimates = unpack(packed);
        } catch (RuntimeException e) {
            Event.of("estimates-ignored").with("failure", e).write();
            return;
        }
        listener.accept(estimates);
    }

    static byte[] pack(List<PairEstimate> estimates) {
        List<PairEstimate> limited = estimates.subList(0, Math.min(MAX_ESTIMATES, estimates.size()));
        return MessagePackCodec.pack(packer -> MessagePackCodec.list(packer, limited, (out, estimate) -> {
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
