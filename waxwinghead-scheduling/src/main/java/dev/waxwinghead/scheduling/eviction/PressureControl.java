package dev.waxwinghead.scheduling.eviction;

import dev.waxwinghead.model.id.WorkerId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the batch tasks of a worker are throttled, evicted and released from throttling, depending on the tail
 * latency of the services on that worker.
 *
 * <p>Throttling comes before eviction and ends only when the latency is well below its target, so that the control does
 * not oscillate. After each action, the next eviction requires a measurement that was taken some time after that
 * action. Not thread-safe.
 *
 * @since 0.1
 */
public final class PressureControl {
    private static final double THROTTLE_RATIO = 1.05;
    private static final double RELEASE_RATIO = 0.7;
    private static final long MIN_ACTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long RELEASE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<WorkerId, Pressure> workers = new HashMap<>();

    private PressureControl() {}

    /**
     * Creates a control that throttles no worker.
     *
     * @return the new control, never null
     */
    public static PressureControl create() {
        return new PressureControl();
    }

    /** The actions that can be taken on a worker. */
    public enum Action {
        /** No action is needed. */
        NONE,
        /** The batch tasks are to be throttled. */
        THROTTLE,
        /** The batch task that increases latency the most is to be evicted. */
        EVICT,
        /** The throttling of the batch tasks is to be lifted. */
        RELEASE
    }

    /**
     * Records a measurement and returns the action to take.
     *
     * @param worker the worker
     * @param latencyRatio the tail latency of a service on the worker, as a multiple of its target
     * @param takenNanos when the measurement was taken, in nanoseconds
     * @param now the current time, in nanoseconds
     * @return the action, never null
     */
    public Action onMeasurement(WorkerId worker, double latencyRatio, long takenNanos, long now) {
        Pressure pressure = workers.computeIfAbsent(worker, key -> new Pressure(takenNanos));
        if (latencyRatio < RELEASE_RATIO) {
            return pressure.onLowLatency(takenNanos);
        }
        pressure.lowSinceNanos = takenNanos;
        return latencyRatio > THROTTLE_RATIO ? pressure.onHighLatency(takenNanos, now) : Action.NONE;
    }

    /**
     * Returns whether the batch tasks of a worker are throttled.
     *
     * @param worker the worker
     * @return true between {@link Action#THROTTLE} and {@link Action#RELEASE}
     */
    public boolean throttled(WorkerId worker) {
        Pressure pressure = workers.get(worker);
        return pressure != null && pressure.throttled;
    }

    private static final class Pressure {
        private boolean throttled;
        private long lowSinceNanos;
        private long lastActionNanos;

        Pressure(long now) {
            lowSinceNanos = now;
        }

        Action onHighLatency(long takenNanos, long now) {
            if (throttled && takenNanos - lastActionNanos < MIN_ACTION_INTERVAL_NANOS) {
                return Action.NONE;
            }
            Action next = throttled ? Action.EVICT : Action.THROTTLE;
            throttled = true;
            lastActionNanos = now;
            return next;
        }

        Action onLowLatency(long takenNanos) {
            if (!throttled || takenNanos - lowSinceNanos < RELEASE_AFTER_NANOS) {
                return Action.NONE;
            }
            throttled = false;
            return Action.RELEASE;
        }
    }
}
