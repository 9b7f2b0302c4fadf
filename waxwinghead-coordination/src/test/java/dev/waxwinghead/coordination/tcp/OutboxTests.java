package dev.waxwinghead.coordination.tcp;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import org.junit.jupiter.api.Test;

class OutboxTests {
    private static final int FRAME_BYTES = 1000;
    private static final int MAX_QUEUED_BYTES = 5 * (FRAME_BYTES + Frame.MAX_OVERHEAD_BYTES);

    private final TcpPeerCounters counters = new TcpPeerCounters();
    private final Outbox outbox = new Outbox(MAX_QUEUED_BYTES, counters);

    private boolean offer(PeerChannel channel, int firstByte) {
        byte[] payload = new byte[FRAME_BYTES];
        payload[0] = (byte) firstByte;
        return outbox.offer(OutgoingFrame.of(new Frame.Message(channel, payload), true));
    }

    private Frame.ChannelFrame poll() throws InterruptedException {
        return outbox.poll(0).frame();
    }

    private static PendingCall call() {
        return new PendingCall(HostId.of("e2"), PeerChannel.UPSTREAMS, 1, new byte[FRAME_BYTES]);
    }

    private static ErrorKind kind(PendingCall call) {
        return call.answer()
                .handle((answer, failure) -> WaxwingheadException.from(failure).kind())
                .join();
    }

    @Test
    void writesOtherChannelsBeforeTheBacklogOfAFullOne() throws InterruptedException {
        for (int i = 0; i < 5; i++) {
            offer(PeerChannel.UPSTREAMS, i);
        }
        poll();
        offer(PeerChannel.CONSENSUS, 0);

        assertThat(List.of(poll().channel(), poll().channel())).contains(PeerChannel.CONSENSUS);
    }

    @Test
    void dropsTheOldestMessagesOfAFullChannel() throws InterruptedException {
        for (int i = 0; i < 8; i++) {
            assertThat(offer(PeerChannel.UPSTREAMS, i)).isTrue();
        }
        assertThat(poll().payload()[0]).isEqualTo(3);
        assertThat(counters.droppedMessages()).isEqualTo(3);
    }

    @Test
    void refusesCallsToAFullChannelAndKeepsQueuedOnes() {
        PendingCall waiting = call();
        assertThat(outbox.offer(waiting)).isTrue();
        for (int i = 0; i < 8; i++) {
            offer(PeerChannel.UPSTREAMS, i);
        }
        assertThat(outbox.offer(call())).isFalse();
        assertThat(waiting.answer().isDone()).isFalse();
    }

    @Test
    void failsQueuedCallsAsNotSentWhenClosed() throws InterruptedException {
        PendingCall sent = call();
        PendingCall waiting = call();
        outbox.offer(sent);
        outbox.offer(waiting);
        assertThat(outbox.poll(0).beginWrite()).isTrue();

        outbox.close("lost");
        sent.abandon("lost");

        assertThat(kind(waiting)).isEqualTo(ErrorKind.UNAVAILABLE);
        assertThat(kind(sent)).isEqualTo(ErrorKind.UNKNOWN_OUTCOME);
        assertThat(waiting.beginWrite()).isFalse();
    }
}
