package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ObjectiveManifest;
import dev.waxwinghead.scheduling.eviction.PressureControl;
import dev.waxwinghead.scheduling.interference.ColocationHistory;
import dev.waxwinghead.scheduling.interference.InterferenceModel;
import dev.waxwinghead.scheduling.placement.HarmModel;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.sizing.SizeModel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Gathers what is learned from late measurements, and weighs it by the objective.
 *
 * <p>Used by one thread at a time. It may outlive a scheduler, so that a new term begins with what was learned.
 *
 * @since 0.1
 */
public final class Learning implements HarmModel {
    private static final long HISTORY_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final long SAME_MEASUREMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final double FULL_LOAD = 0.85;
    private static final double COMFORTABLE_RATIO = 0.6;
    private static final double SLOPE = 0.1;
    private static final double STRICT_LIMIT = 0.85;
    private static final double LIMIT_RANGE = 0.2;
    private static final double LEAST_RISE_TO_THROTTLE = 0.03;
    private static final double CURVE = 5;
    private static final double EVICTION_COST = 0.05;
    /** The weights that hold where none are declared. */
    public static final ObjectiveManifest EQUAL_WEIGHTS = new ObjectiveManifest("default", 1, 1, 1);

    private final InterferenceModel interference = InterferenceModel.create();
    private final SizeModel sizes = SizeModel.create();
    private ColocationHistory history = ColocationHistory.create(HISTORY_NANOS);
    private final PressureControl pressure = PressureControl.create();
    private final Map<TaskId, Long> measuredNanos = new HashMap<>();
    private final boolean learnsInterference;
    private ObjectiveManifest objective = EQUAL_WEIGHTS;

    private Learning(boolean learnsInterference) {
        this.learnsInterference = learnsInterference;
    }

    /**
     * Returns one that has learned nothing and weighs all aims alike.
     *
     * @return the new object, never null
     */
    public static Learning create() {
        return new Learning(true);
    }

    /**
     * Returns one that never tells one pair of service and batch class from another.
     *
     * @return the new object, never null
     */
    public static Learning withoutInterference() {
        return new Learning(false);
    }

    /**
     * Replaces the weights.
     *
     * @param next the weights
     */
    public void objective(ObjectiveManifest next) {
        objective = next;
    }

    @Override
    public double baselineLatency(Workload service) {
        return interference.baseline(service.owner().name());
    }

    @Override
    public double latencyIncrease(Workload service, Workload batch) {
        return interference.latencyIncrease(service.owner().name(), batch.interferenceClass());
    }

    @Override
    public double latencyCost(double latencyRatio) {
        double nearTarget = Math.max(0, latencyRatio - COMFORTABLE_RATIO);
        return objective.tailLatency() * (SLOPE * latencyRatio + CURVE * nearTarget * nearTarget);
    }

    @Override
    public boolean acceptsLatency(double latencyRatio) {
        double sum = objective.tailLatency() + objective.batchThroughput();
        double throughputShare = sum == 0 ? 0 : objective.batchThroughput() / sum;
        return latencyRatio <= STRICT_LIMIT + throughputShare * LIMIT_RANGE;
    }

    @Override
    public double expectedMillicores(Workload workload) {
        return sizes.expectedMillicores(
                workload.interferenceClass(), workload.resources().millicores());
    }

    @Override
    public double overload(double load) {
        return Math.max(0, load - FULL_LOAD) * (objective.tailLatency() + objective.batchThroughput());
    }

    /** Forgets what ran where; the scheduler that begins tells it anew. */
    void begin() {
        history = ColocationHistory.create(HISTORY_NANOS);
    }

    void came(WorkerId worker, Workload workload, long now) {
        if (!workload.service()) {
            history.recordChange(worker, workload.interferenceClass(), 1, now);
        }
    }

    void left(WorkerId worker, Workload workload, long now) {
        if (!workload.service()) {
            history.recordChange(worker, workload.interferenceClass(), -1, now);
        }
    }

    /** Learns from a measurement of a task, and says what to do about its worker. */
    PressureControl.Action measured(WorkerId worker, TaskId task, Workload workload, PollReport.Usage usage, long now) {
        long taken = now - usage.measuredAgoNanos();
        Long before = measuredNanos.get(task);
        if (before != null && taken - before < SAME_MEASUREMENT_NANOS) {
            return PressureControl.Action.NONE;
        }
        measuredNanos.put(task, taken);
        sizes.learn(workload.interferenceClass(), workload.resources().millicores(), usage.millicores());
        if (!workload.service() || usage.latencyRatio() <= 0) {
            return PressureControl.Action.NONE;
        }
        if (learnsInterference) {
            interference.learn(workload.owner().name(), history.countsAt(worker, taken), usage.latencyRatio(), taken);
        }
        return pressure.onMeasurement(worker, usage.latencyRatio(), taken, now);
    }

    void ended(TaskId task) {
        measuredNanos.remove(task);
    }

    boolean throttled(WorkerId worker) {
        return pressure.throttled(worker);
    }

    /** Tells whether a task that raises the latency of services by so much is to be slowed down with them. */
    boolean worthThrottling(double rise) {
        return rise >= LEAST_RISE_TO_THROTTLE;
    }

    /** Tells whether sparing services the given rise of their latency is worth an eviction. */
    boolean worthEviction(double rise) {
        return objective.tailLatency() * rise > objective.evictions() * EVICTION_COST;
    }
}
