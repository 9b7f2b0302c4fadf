package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class InterferenceSharingTests {
    private static final List<PairEstimate> ESTIMATES =
            List.of(new PairEstimate("web", "index", 0.12, 0.001), new PairEstimate("web", "mail", 0, 0.0005));

    @Test
    void keepsEstimatesThroughTheCodec() {
        assertThat(InterferenceSharing.unpack(InterferenceSharing.pack(ESTIMATES)))
                .isEqualTo(ESTIMATES);
    }

    @Test
    void rejectsTruncatedAndChangedMessagesWithAnException() {
        byte[] message = InterferenceSharing.pack(ESTIMATES);
        Random random = new Random(11);
        for (int length = 0; length < message.length; length++) {
            byte[] truncated = Arrays.copyOf(message, length);
            assertThrows(RuntimeException.class, () -> InterferenceSharing.unpack(truncated));
        }
        for (int i = 0; i < 2000; i++) {
            byte[] changed = message.clone();
            changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            try {
                InterferenceSharing.unpack(changed)
                        .forEach(estimate -> assertThat(estimate.variance()).isGreaterThan(0));
            } catch (WaxwingheadException | IllegalArgumentException expected) {
                assertThat(expected).hasMessageThat().isNotEmpty();
            }
        }
    }
}
