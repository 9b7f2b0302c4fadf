package dev.waxwinghead.testkit.worker;

import dev.waxwinghead.model.time.Ticker;
import java.time.Duration;
import java.util.function.Supplier;

/** Samples the usage of a task and makes each sample visible only after a lag. Not thread-safe. */
final class UsageMeter {
    private final Ticker ticker;
    private final Duration lag;
    private Sample visible;
    private Sample newest;

    private UsageMeter(Ticker ticker, Duration lag) {
        this.ticker = ticker;
        this.lag = lag;
    }

    static UsageMeter create(Ticker ticker, Duration lag) {
        return new UsageMeter(ticker, lag);
    }

    /**
     * Takes a sample if the last one is older than the lag; reads the latency ratio, which may be null, only in that
     * case.
     */
    void measure(long millicores, long memoryBytes, Supplier<Double> latencyRatio) {
        long now = ticker.nanos();
        if (newest == null || now - newest.takenNanos >= lag.toNanos()) {
            visible = newest;
            newest = new Sample(millicores, memoryBytes, latencyRatio.get(), now);
        }
    }

    /** Returns the newest sample that is older than the lag, null if there is none. */
    Usage usage() {
        if (visible == null) {
            return null;
        }
        long ageMillis = (ticker.nanos() - visible.takenNanos) / 1_000_000L;
        return new Usage(visible.millicores, visible.memoryBytes, ageMillis, visible.latencyRatio);
    }

    private record Sample(long millicores, long memoryBytes, Double latencyRatio, long takenNanos) {}
}
