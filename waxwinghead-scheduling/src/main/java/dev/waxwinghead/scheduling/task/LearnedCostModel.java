package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ObjectiveManifest;
import dev.waxwinghead.scheduling.eviction.PressureControl;
import dev.waxwinghead.scheduling.interference.ColocationHistory;
import dev.waxwinghead.scheduling.interference.InterferenceModel;
import dev.waxwinghead.scheduling.placement.ColocationCostModel;
import dev.waxwinghead.scheduling.placement.Workload;
import dev.waxwinghead.scheduling.sizing.UsageModel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Learns from delayed measurements and weighs the resulting costs by the objective.
 *
 * <p>An instance may be passed to the scheduler of the next term, which then starts with the learned estimates. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class LearnedCostModel implements ColocationCostModel {
    private static final long HISTORY_NANOS = TimeUnit.MINUTES.toNanos(2);
    /** Measurements of a task taken less than this duration apart count as the same measurement. */
    private static final long DUPLICATE_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final double OVERLOAD_THRESHOLD = 0.85;
    private static final double QUADRATIC_COST_THRESHOLD = 0.6;
    private static final double LINEAR_COST = 0.1;
    private static final double MIN_LATENCY_LIMIT = 0.85;
    private static final double LATENCY_LIMIT_RANGE = 0.2;
    private static final double MIN_INCREASE_TO_THROTTLE = 0.03;
    private static final double QUADRATIC_COST = 5;
    private static final double EVICTION_COST = 0.05;
    /** The weights that apply if no objective is declared. */
    public static final ObjectiveManifest EQUAL_WEIGHTS = new ObjectiveManifest("default", 1, 1, 1);

    private final InterferenceModel interference = InterferenceModel.create();
    private final UsageModel sizes = UsageModel.create();
    private ColocationHistory history = ColocationHistory.create(HISTORY_NANOS);
    private final PressureControl pressure = PressureControl.create();
    private final Map<TaskId, Long> lastMeasuredNanos = new HashMap<>();
    private final boolean learnsInterference;
    private ObjectiveManifest objective = EQUAL_WEIGHTS;

    private LearnedCostModel(boolean learnsInterference) {
        this.learnsInterference = learnsInterference;
    }

    /**
     * Creates a model without measurements that weighs tail latency, batch throughput and evictions equally.
     *
     * @return the new model, never null
     */
    public static LearnedCostModel create() {
        return new LearnedCostModel(true);
    }

    /**
     * Creates a model that assumes the same interference for every pair of service and batch class.
     *
     * @return the new model, never null
     */
    public static LearnedCostModel withoutInterference() {
        return new LearnedCostModel(false);
    }

    /**
     * Replaces the objective.
     *
     * @param next the new objective
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
        double nearTarget = Math.max(0, latencyRatio - QUADRATIC_COST_THRESHOLD);
        return objective.tailLatency() * (LINEAR_COST * latencyRatio + QUADRATIC_COST * nearTarget * nearTarget);
    }

    @Override
    public boolean acceptsLatency(double latencyRatio) {
        double sum = objective.tailLatency() + objective.batchThroughput();
        double throughputShare = sum == 0 ? 0 : objective.batchThroughput() / sum;
        return latencyRatio <= MIN_LATENCY_LIMIT + throughputShare * LATENCY_LIMIT_RANGE;
    }

    @Override
    public double expectedMillicores(Workload workload) {
        return sizes.expectedMillicores(
                workload.interferenceClass(), workload.resources().millicores());
    }

    @Override
    public double overloadCost(double load) {
        return Math.max(0, load - OVERLOAD_THRESHOLD) * (objective.tailLatency() + objective.batchThroughput());
    }

    /** Clears the colocation history; the new scheduler records the tasks on each worker again. */
    void resetHistory() {
        history = ColocationHistory.create(HISTORY_NANOS);
    }

    void taskAdded(WorkerId worker, Workload workload, long now) {
        if (!workload.service()) {
            history.recordChange(worker, workload.interferenceClass(), 1, now);
        }
    }

    void taskRemoved(WorkerId worker, Workload workload, long now) {
        if (!workload.service()) {
            history.recordChange(worker, workload.interferenceClass(), -1, now);
        }
    }

    /** Learns from a measurement of a task and returns the action to take on the worker. */
    PressureControl.Action onMeasurement(
            WorkerId worker, TaskId task, Workload workload, PollReport.Usage usage, long now) {
        long taken = now - usage.measuredAgoNanos();
        Long before = lastMeasuredNanos.get(task);
        if (before != null && taken - before < DUPLICATE_WINDOW_NANOS) {
            return PressureControl.Action.NONE;
        }
        lastMeasuredNanos.put(task, taken);
        sizes.learn(workload.interferenceClass(), workload.resources().millicores(), usage.millicores());
        if (!workload.service() || usage.latencyRatio() <= 0) {
            return PressureControl.Action.NONE;
        }
        if (learnsInterference) {
            interference.learn(workload.owner().name(), history.countsAt(worker, taken), usage.latencyRatio(), taken);
        }
        return pressure.onMeasurement(worker, usage.latencyRatio(), taken, now);
    }

    void taskEnded(TaskId task) {
        lastMeasuredNanos.remove(task);
    }

    boolean throttled(WorkerId worker) {
        return pressure.throttled(worker);
    }

    /** Returns whether the given increase in the latency of services is large enough to throttle the task behind it. */
    boolean worthThrottling(double increase) {
        return increase >= MIN_INCREASE_TO_THROTTLE;
    }

    /** Returns whether avoiding the given increase in the latency of services outweighs the cost of an eviction. */
    boolean worthEviction(double increase) {
        return objective.tailLatency() * increase > objective.evictions() * EVICTION_COST;
    }
}
