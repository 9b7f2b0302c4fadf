package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.function.Supplier;

/** Measures what a task uses and shows each measurement only after a lag. Not thread-safe. */
final class UsageMeter {
    private final Ticker ticker;
    private final Duration lag;
    private Sample shown;
    private Sample newest;

    private UsageMeter(Ticker ticker, Duration lag) {
        this.ticker = ticker;
        this.lag = lag;
    }

    static UsageMeter create(Ticker ticker, Duration lag) {
        return new UsageMeter(ticker, lag);
    }

    /** Takes a measurement if the last one is old enough; the latency ratio is read only then and may be null. */
    void measure(long millicores, long memoryBytes, Supplier<Double> latencyRatio) {
        long now = ticker.nanos();
        if (newest == null || now - newest.takenNanos >= lag.toNanos()) {
            shown = newest;
            newest = new Sample(millicores, memoryBytes, latencyRatio.get(), now);
        }
    }

    /** Returns the newest measurement that is older than the lag, null if there is none. */
    Usage usage() {
        if (shown == null) {
            return null;
        }
        long ageMillis = (ticker.nanos() - shown.takenNanos) / 1_000_000L;
        return new Usage(shown.millicores, shown.memoryBytes, ageMillis, shown.latencyRatio);
    }

    private record Sample(long millicores, long memoryBytes, Double latencyRatio, long takenNanos) {}
}
