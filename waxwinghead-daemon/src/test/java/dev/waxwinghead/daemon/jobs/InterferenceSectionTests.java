package dev.waxwinghead.daemon.jobs;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class InterferenceSectionTests {
    private static final List<PairEstimate> ESTIMATES =
            List.of(new PairEstimate("web", "index", 0.12, 0.001), new PairEstimate("web", "mail", 0, 0.0005));

    @Test
    void keepsEstimatesThroughTheCodec() {
        assertThat(InterferenceSection.unpack(InterferenceSection.pack(ESTIMATES)))
                .isEqualTo(ESTIMATES);
    }

    /** Guards against learning everything again after all hosts have lost power. */
    @Test
    void restoresEstimatesFromASnapshotAndHandsThemToTheListener() {
        InterferenceSection recorded = new InterferenceSection();
        recorded.apply(1, InterferenceSection.pack(ESTIMATES));
        InterferenceSection restarted = new InterferenceSection();
        restarted.restore(recorded.snapshot());
        List<PairEstimate> adopted = new ArrayList<>();
        restarted.onChange(adopted::addAll);
        assertThat(adopted).isEqualTo(ESTIMATES);
    }

    @Test
    void keepsEarlierEstimatesIfACommandIsUnreadable() {
        InterferenceSection section = new InterferenceSection();
        section.apply(1, InterferenceSection.pack(ESTIMATES));
        section.apply(2, new byte[] {(byte) 0xdc, 0});
        assertThat(section.estimates()).isEqualTo(ESTIMATES);
    }

    /** Guards against an entry of the log at each interval although nothing new was learned. */
    @Test
    void recordsOnlyNewPairsAndClearChanges() {
        assertThat(InterferenceRecorder.differ(ESTIMATES, ESTIMATES)).isFalse();
        assertThat(InterferenceRecorder.differ(ESTIMATES, ESTIMATES.subList(0, 1)))
                .isTrue();
        assertThat(InterferenceRecorder.differ(List.of(new PairEstimate("web", "index", 0.125, 0.001)), ESTIMATES))
                .isFalse();
        assertThat(InterferenceRecorder.differ(List.of(new PairEstimate("web", "index", 0.2, 0.001)), ESTIMATES))
                .isTrue();
        assertThat(InterferenceRecorder.differ(List.of(), ESTIMATES)).isFalse();
    }

    @Test
    void rejectsTruncatedAndChangedMessagesWithAnException() {
        byte[] message = InterferenceSection.pack(ESTIMATES);
        Random random = new Random(11);
        for (int length = 0; length < message.length; length++) {
            byte[] truncated = Arrays.copyOf(message, length);
            assertThrows(RuntimeException.class, () -> InterferenceSection.unpack(truncated));
        }
        for (int i = 0; i < 2000; i++) {
            byte[] changed = message.clone();
            changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            try {
                InterferenceSection.unpack(changed)
                        .forEach(estimate -> assertThat(estimate.variance()).isGreaterThan(0));
            } catch (WaxwingheadException | IllegalArgumentException expected) {
                assertThat(expected).hasMessageThat().isNotEmpty();
            }
        }
    }
}
