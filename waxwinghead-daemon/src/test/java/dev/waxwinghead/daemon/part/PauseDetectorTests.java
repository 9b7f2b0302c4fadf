package dev.waxwinghead.daemon.part;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.daemon.callers.ManualClock;
import dev.waxwinghead.model.time.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against requests that are taken for new ones although they arrived while the process stood still. */
class PauseDetectorTests {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long TWO_BEATS = TimeUnit.MILLISECONDS.toNanos(2 * PauseDetector.BEAT_MILLIS);

    private final ManualClock clock = new ManualClock();
    private final StoppableTicker ticker = new StoppableTicker();
    private final PauseDetector detector = PauseDetector.start(ticker, clock.timer());

    /** Passes time without beats. */
    private void pause(long nanos) {
        ticker.offset += nanos;
    }

    private long waited() {
        return ticker.nanos() - detector.earliestArrivalNanos();
    }

    @Test
    void returnsARecentTimeWhileTheProcessRuns() {
        clock.advance(5 * SECOND);
        assertThat(waited()).isAtMost(TWO_BEATS);
    }

    @Test
    void returnsTheStartOfAPauseBeforeTheFirstBeatAfterIt() {
        clock.advance(5 * SECOND);
        pause(7 * SECOND);
        assertThat(waited()).isAtLeast(7 * SECOND);
    }

    @Test
    void returnsTheStartOfAPauseForAWhileAfterIt() {
        clock.advance(5 * SECOND);
        pause(7 * SECOND);
        clock.advance(SECOND / 2);
        assertThat(waited()).isAtLeast(7 * SECOND);
        clock.advance(SECOND);
        assertThat(waited()).isAtMost(TWO_BEATS);
    }

    @Test
    void returnsTheStartOfTheFirstOfSeveralPauses() {
        clock.advance(5 * SECOND);
        pause(2 * SECOND);
        clock.advance(SECOND / 2);
        pause(2 * SECOND);
        assertThat(waited()).isAtLeast(4 * SECOND);
    }

    @Test
    void returnsATimeBeforeAShortPause() {
        clock.advance(5 * SECOND);
        pause(PauseDetector.PAUSE_NANOS / 2);
        assertThat(waited()).isAtLeast(PauseDetector.PAUSE_NANOS / 2);
        clock.advance(TWO_BEATS / 2);
        assertThat(waited()).isAtLeast(PauseDetector.PAUSE_NANOS / 2);
        clock.advance(TWO_BEATS);
        assertThat(waited()).isAtMost(TWO_BEATS);
    }

    private final class StoppableTicker implements Ticker {
        private long offset;

        @Override
        public long nanos() {
            return clock.nanos() + offset;
        }
    }
}
