package dev.waxwinghead.scheduling.overload;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AchievedRateTests {
    private final AchievedRate rate = AchievedRate.create();
    private long now = TimeUnit.SECONDS.toNanos(-10);

    private void play(int seconds, long coreMillisPerSecond, boolean waits) {
        for (int tick = 0; tick < 10 * seconds; tick++) {
            now += TimeUnit.MILLISECONDS.toNanos(100);
            rate.waiting(waits, now);
            rate.completed(coreMillisPerSecond / 10, now);
        }
    }

    /** Guards against a forecast that shrinks with the demand, and then makes a small load look like overload. */
    @Test
    void isNotKnownWhileNoWorkWaits() {
        play(10, 500, false);
        assertThat(rate.millicores(now)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void isNotKnownWhenWorkHasWaitedForAMoment() {
        play(10, 500, false);
        play(1, 500, true);
        assertThat(rate.millicores(now)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void isTheWorkCompletedPerSecond() {
        play(10, 5000, true);
        assertThat(rate.millicores(now).orElseThrow()).isIn(Range.closed(4700L, 5300L));
    }

    @Test
    void followsTheLastSeconds() {
        play(10, 5000, true);
        play(5, 1000, true);
        assertThat(rate.millicores(now).orElseThrow()).isIn(Range.closed(900L, 1100L));
    }
}
