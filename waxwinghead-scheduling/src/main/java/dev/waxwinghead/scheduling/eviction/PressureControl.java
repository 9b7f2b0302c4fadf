package dev.waxwinghead.scheduling.eviction;

import dev.waxwinghead.model.id.WorkerId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the batch tasks of a worker are slowed down, evicted and let go again, by the tail latency of the
 * services there.
 *
 * <p>Slowing down comes first and is undone only well below the target, so that the two do not alternate. One eviction
 * follows another only after a measurement that was taken after it. Used by one thread at a time.
 *
 * @since 0.1
 */
public final class PressureControl {
    private static final double HIGH_RATIO = 1.05;
    private static final double LOW_RATIO = 0.7;
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long RELEASE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<WorkerId, Pressure> workers = new HashMap<>();

    private PressureControl() {}

    /**
     * Returns a control in which no worker is under pressure.
     *
     * @return the control, never null
     */
    public static PressureControl create() {
        return new PressureControl();
    }

    /** Lists what can be done about a worker. */
    public enum Action {
        /** Nothing changes. */
        NONE,
        /** Its batch tasks are slowed down. */
        THROTTLE,
        /** The batch task that harms most is moved away. */
        EVICT,
        /** Its batch tasks run freely again. */
        RELEASE
    }

    /**
     * Takes in a measurement and says what to do.
     *
     * @param worker the worker
     * @param latencyRatio the worst tail latency of a service there, as a multiple of its target
     * @param takenNanos when it was measured
     * @param now the time now, in nanoseconds
     * @return the action, never null
     */
    public Action measured(WorkerId worker, double latencyRatio, long takenNanos, long now) {
        Pressure pressure = workers.computeIfAbsent(worker, key -> new Pressure(takenNanos));
        if (latencyRatio < LOW_RATIO) {
            return pressure.relax(takenNanos);
        }
        pressure.lowSinceNanos = takenNanos;
        return latencyRatio > HIGH_RATIO ? pressure.press(takenNanos, now) : Action.NONE;
    }

    /**
     * Tells whether the batch tasks of a worker are slowed down.
     *
     * @param worker the worker
     * @return true between a {@code THROTTLE} and a {@code RELEASE}
     */
    public boolean throttled(WorkerId worker) {
        Pressure pressure = workers.get(worker);
        return pressure != null && pressure.throttled;
    }

    private static final class Pressure {
        private boolean throttled;
        private long lowSinceNanos;
        private long actedNanos;

        Pressure(long now) {
            lowSinceNanos = now;
        }

        Action press(long takenNanos, long now) {
            if (throttled && takenNanos - actedNanos < PATIENCE_NANOS) {
                return Action.NONE;
            }
            Action next = throttled ? Action.EVICT : Action.THROTTLE;
            throttled = true;
            actedNanos = now;
            return next;
        }

        Action relax(long takenNanos) {
            if (!throttled || takenNanos - lowSinceNanos < RELEASE_AFTER_NANOS) {
                return Action.NONE;
            }
            throttled = false;
            return Action.RELEASE;
        }
    }
}
