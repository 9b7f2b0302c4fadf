package dev.waxwinghead.daemon.part;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.time.Ticker;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Detects that this process stood still: it was stopped by a signal, its machine was frozen, or it got no processor
 * time. What arrived in the meantime is read afterwards as if it had just been sent.
 */
public final class PauseDetector implements AutoCloseable {
    static final long BEAT_MILLIS = 100;

    /** The time without a beat from which the process counts as paused; half of the time for which clients wait. */
    static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** How long after a pause the process may still read what arrived meanwhile; the reading starts at once. */
    static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Ticker ticker;
    private final PeriodicTask beats;

    private long latestBeatNanos;
    private long previousBeatNanos;
    private boolean paused;
    private long pauseStartNanos;
    private long pauseEndNanos;

    private PauseDetector(Ticker ticker, ScheduledExecutorService timer) {
        this.ticker = ticker;
        this.latestBeatNanos = ticker.nanos();
        this.previousBeatNanos = latestBeatNanos;
        this.beats = PeriodicTask.start(timer, BEAT_MILLIS, "pause-detector", this::beat);
    }

    /**
     * Starts observing this process.
     *
     * @param ticker the monotonic clock, which goes on while the process stands still
     * @param timer the executor of the beats
     * @return the running detector, never null
     */
    public static PauseDetector start(Ticker ticker, ScheduledExecutorService timer) {
        return new PauseDetector(ticker, timer);
    }

    /**
     * Returns the earliest time at which something can have arrived that this process begins to read now.
     *
     * @return the start of a pause that lasts or has ended recently; otherwise the beat before the latest one, since a
     *     shorter pause may lie between the two; in nanoseconds of the ticker
     */
    public synchronized long earliestArrivalNanos() {
        long now = ticker.nanos();
        recordPause(now);
        return recentlyPaused(now) ? pauseStartNanos : previousBeatNanos;
    }

    private synchronized void beat() {
        long now = ticker.nanos();
        if (recordPause(now)) {
            Event.of("process-paused")
                    .with("millis", TimeUnit.NANOSECONDS.toMillis(now - latestBeatNanos))
                    .write();
        }
        previousBeatNanos = latestBeatNanos;
        latestBeatNanos = now;
    }

    /** Extends the latest pause up to now if there was no beat for long; returns whether it did. */
    private boolean recordPause(long now) {
        if (now - latestBeatNanos < PAUSE_NANOS) {
            return false;
        }
        if (!recentlyPaused(latestBeatNanos)) {
            pauseStartNanos = latestBeatNanos;
        }
        paused = true;
        pauseEndNanos = now;
        return true;
    }

    private boolean recentlyPaused(long now) {
        return paused && now - pauseEndNanos < RECENT_NANOS;
    }

    @Override
    public void close() {
        beats.close();
    }
}
