package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.interference.PairEstimate;
import dev.waxwinghead.scheduling.interference.PairwiseInterference;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Learns how much best-effort tasks raise the latency of serving tasks, decides which best-effort tasks a worker
 * admits, and chooses tasks to evict from workers whose serving tasks are close to their latency targets.
 *
 * <p>Tasks of one image behave alike, so measurements from one worker apply to all workers.
 */
final class InterferenceControl {
    /**
     * The ratio of latency to target from which a best-effort task is evicted. Below 1, since the gauge is half a
     * second old and imprecise.
     */
    private static final double EVICTION_RATIO = 0.92;

    /** The logarithm of the highest ratio of latency to target that another best-effort task may cause. */
    private static final double LOG_ADMISSION_RATIO = Math.log(0.85);

    /**
     * How long a serving task may exceed its target before all best-effort tasks on the worker are stopped; half of the
     * allowed time.
     */
    private static final long MAX_OVER_TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /** The smallest rise of the logarithm of a latency that justifies the eviction of the task that causes it. */
    private static final double MIN_EVICTION_GAIN = 0.15;

    /**
     * Ratios of latency to target outside these bounds are clamped, as more extreme ratios carry no more information.
     */
    private static final double MIN_RATIO = 0.05;

    private static final double MAX_RATIO = 4;

    /** Rises of the logarithm of a latency up to this bound are negligible, since the gauges are no more precise. */
    private static final double NEGLIGIBLE_RISE = 0.12;

    /** The processor time that counts as one unit of interference, in millicores. */
    private static final double MILLICORES_PER_UNIT = 500;

    /**
     * The minimum interval between evictions from one worker. The gauges cover half a second, so the effect of an
     * eviction is visible only after that.
     */
    private static final long EVICTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

    /** The minimum interval between model updates from one worker, as its gauges change little in less time. */
    private static final long LEARNING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(240);

    private final PairwiseInterference model = PairwiseInterference.create();

    /**
     * Updates the model with a worker's latest gauges, unless the last update is too recent.
     *
     * @param entry the worker
     * @param residents the tasks listed by its latest report
     * @param now the current time, in nanoseconds
     */
    void learn(WorkerEntry entry, List<ResidentTask> residents, long now) {
        if (!entry.learningDue(now, LEARNING_INTERVAL_NANOS)) {
            return;
        }
        Map<String, Double> bestEffortUnits = new HashMap<>();
        for (ResidentTask resident : residents) {
            if (resident.step().bestEffort() && resident.observed().gauge() > 0) {
                bestEffortUnits.merge(
                        resident.step().image(), resident.observed().gauge() / MILLICORES_PER_UNIT, Double::sum);
            }
        }
        for (ResidentTask resident : residents) {
            if (resident.ready()) {
                model.learn(resident.job(), resident.step().image(), bestEffortUnits, resident.logRatio(), now);
            }
        }
    }

    /**
     * Chooses the best-effort task that is expected to raise the latency of the worker's slowest serving task most.
     *
     * @return the task to evict; empty if no eviction is needed, no task qualifies or the previous eviction was too
     *     recent
     */
    Optional<ResidentTask> chooseEviction(WorkerEntry entry, List<ResidentTask> residents, long now) {
        Optional<ResidentTask> slowest = slowestServing(residents);
        if (slowest.isEmpty()
                || slowest.get().ratio() < EVICTION_RATIO
                || !entry.evictionDue(now, EVICTION_INTERVAL_NANOS)) {
            return Optional.empty();
        }
        ResidentTask selected = null;
        double highestRise = MIN_EVICTION_GAIN;
        for (ResidentTask resident : residents) {
            boolean candidate =
                    resident.step().bestEffort() && !entry.stopping().contains(resident.run());
            double rise = candidate ? expectedRise(slowest.get(), resident, now) : 0;
            if (rise > highestRise) {
                selected = resident;
                highestRise = rise;
            }
        }
        if (selected != null) {
            entry.evicted(now);
        }
        return Optional.ofNullable(selected);
    }

    /**
     * Returns whether a serving task has exceeded its target for so long that no best-effort task may stay on the
     * worker.
     *
     * <p>This check is independent of the model and so protects users from errors of the model.
     */
    static boolean overTargetTooLong(List<ResidentTask> residents, long now) {
        for (ResidentTask resident : residents) {
            if (resident.ready() && resident.observed().overTargetForNanos(now) > MAX_OVER_TARGET_NANOS) {
                return true;
            }
        }
        return false;
    }

    /** Returns the reliable estimates, for the scheduler that takes over. */
    List<PairEstimate> reliableEstimates(long now) {
        return model.reliableEstimates(now);
    }

    /** Adopts the estimates of the acting scheduler. */
    void adopt(List<PairEstimate> estimates, long now) {
        model.adopt(estimates, now);
    }

    /** Returns a description of the learned pairs of images, for a log line. */
    String describe(long now) {
        return model.describe(now);
    }

    /**
     * Returns whether a worker's serving tasks tolerate another best-effort task, also at the next peak of their load.
     *
     * @param residents the tasks listed by the worker's latest report
     * @param arriving the best-effort tasks that the gauges of the report do not show yet
     * @param step the step of the task
     * @param now the current time, in nanoseconds
     */
    boolean admits(List<ResidentTask> residents, List<JobStep> arriving, JobStep step, long now) {
        for (ResidentTask resident : residents) {
            if (resident.step().serves() && !admits(resident, arriving, step, now)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether a best-effort task is known to raise the latency of a serving image by more than a negligible
     * amount.
     *
     * @param servingImage the serving image
     * @param image the image of the best-effort task
     * @param millicores the processor time that the best-effort task uses
     * @param now the current time, in nanoseconds
     */
    boolean disturbs(String servingImage, String image, double millicores, long now) {
        double units = millicores / MILLICORES_PER_UNIT;
        return model.isReliable(servingImage, image, now)
                && units * model.latencyIncrease(servingImage, image, now) > NEGLIGIBLE_RISE;
    }

    /**
     * Returns the latency headroom that a worker's serving tasks would have beside another best-effort task.
     *
     * @return the difference between the admission bound and the expected latency ratio at the next load peak, as
     *     logarithms, of the serving task closest to the bound; negative infinity if a serving task already exceeds the
     *     bound
     */
    double headroom(List<ResidentTask> residents, JobStep step, long now) {
        double units = step.need().millicores() / MILLICORES_PER_UNIT;
        double smallest = -LOG_ADMISSION_RATIO;
        for (ResidentTask serving : residents) {
            if (serving.step().serves()) {
                smallest = Math.min(smallest, headroom(serving, step, units, now));
            }
        }
        return smallest;
    }

    private double headroom(ResidentTask serving, JobStep step, double units, long now) {
        if (serving.ready() && serving.logRatio() > LOG_ADMISSION_RATIO) {
            return Double.NEGATIVE_INFINITY;
        }
        double rise = units * model.latencyIncrease(serving.step().image(), step.image(), now);
        return LOG_ADMISSION_RATIO - model.peak(serving.job(), now) - rise;
    }

    private boolean admits(ResidentTask serving, List<JobStep> arriving, JobStep step, long now) {
        String image = serving.step().image();
        double present = serving.ready() ? serving.logRatio() : model.baseline(serving.job());
        double arrivingRise = 0;
        for (JobStep other : arriving) {
            arrivingRise += declaredRise(image, other, now);
        }
        if (present + arrivingRise > LOG_ADMISSION_RATIO) {
            return false;
        }
        double rise = declaredRise(image, step, now);
        if (!model.isReliable(image, step.image(), now)) {
            return present + arrivingRise + rise <= LOG_ADMISSION_RATIO;
        }
        return rise <= NEGLIGIBLE_RISE
                || Math.max(present, model.peak(serving.job(), now)) + arrivingRise + rise <= LOG_ADMISSION_RATIO;
    }

    /** Returns the rise that a best-effort task with the declared processor time is expected to cause. */
    private double declaredRise(String servingImage, JobStep step, long now) {
        return step.need().millicores() / MILLICORES_PER_UNIT * model.latencyIncrease(servingImage, step.image(), now);
    }

    /** Removes the estimates of a job that has ended. */
    void forget(JobId job) {
        model.removeJob(job.value());
    }

    private double expectedRise(ResidentTask serving, ResidentTask bestEffortTask, long now) {
        double units = Math.max(1, bestEffortTask.observed().gauge() / MILLICORES_PER_UNIT);
        return units
                * model.latencyIncrease(
                        serving.step().image(), bestEffortTask.step().image(), now);
    }

    private static Optional<ResidentTask> slowestServing(List<ResidentTask> residents) {
        ResidentTask slowest = null;
        for (ResidentTask resident : residents) {
            if (resident.ready() && (slowest == null || resident.ratio() > slowest.ratio())) {
                slowest = resident;
            }
        }
        return Optional.ofNullable(slowest);
    }

    /**
     * Holds a run listed by a worker's latest report.
     *
     * @param run the run
     * @param step the step of the run's task
     * @param observed the state of the run according to the worker's reports
     */
    record ResidentTask(RunKey run, JobStep step, RunObservation observed) {
        String job() {
            return run.task().job().value();
        }

        /** Returns the logarithm of {@link #ratio()}, clamped to the informative range. */
        double logRatio() {
            return Math.log(Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio())));
        }

        /** Returns the tail latency of a serving task as a multiple of its target. */
        double ratio() {
            return (double) observed.gauge() / step.targetMillis();
        }

        /** Returns whether the run belongs to a serving task that answers requests. */
        boolean ready() {
            return step.serves() && observed.percent() >= READY_PERCENT;
        }

        private static final int READY_PERCENT = 100;
    }
}
