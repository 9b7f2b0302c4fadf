package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.WorkerId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds workers on which tasks progress several times more slowly than the tasks of the same steps on other workers.
 *
 * <p>Answers the load of wide steps on workers of which some turn slow without failing: a step ends with its slowest
 * task. Comparing tasks of one step leaves wrong estimates out; a best-effort task that gets less processor time than
 * it asked for says nothing about its worker.
 */
final class SlowWorkerDetector {
    /** The progress relative to other workers below which a worker counts as slow. */
    private static final double SLOW_FACTOR = 0.45;

    /** The progress relative to other workers from which a slow worker counts as sound again. */
    private static final double SOUND_FACTOR = 0.7;

    /** The weight of the latest measurement; two slow measurements after sound ones are enough. */
    private static final double MEASUREMENT_WEIGHT = 0.5;

    private static final int MIN_MEASUREMENTS = 2;

    /** The number of other workers that must have run tasks of a step before a worker is compared with them. */
    private static final int MIN_OTHER_WORKERS = 2;

    /** The share of its processor time that a best-effort task must get for its progress to count. */
    private static final double MIN_GRANTED_SHARE = 0.85;

    /** How long a slow worker gets no tasks after its last slow measurement; then it gets one at a time. */
    private static final long TRIAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The share of the workers above which differences are not attributed to single workers. */
    private static final double MAX_SLOW_SHARE = 0.34;

    private final SchedulerListener events;
    private final Map<StepKey, StepProgress> steps = new HashMap<>();
    private final Map<WorkerId, WorkerProgress> workers = new HashMap<>();

    SlowWorkerDetector(SchedulerListener events) {
        this.events = events;
    }

    /**
     * Records the progress of a run.
     *
     * @param entry the worker
     * @param run the run
     * @param step the step of the run's task
     * @param observed the state of the run
     * @param now the current time, in nanoseconds
     */
    void measure(WorkerEntry entry, RunKey run, JobStep step, RunObservation observed, long now) {
        double percentPerSecond = observed.takeProgress(now);
        if (percentPerSecond < 0 || step.lasting() || step.gang() || lacksProcessorTime(step, observed)) {
            return;
        }
        StepProgress others = steps.computeIfAbsent(StepKey.of(run.task()), key -> new StepProgress());
        others.add(entry.id(), percentPerSecond);
        if (others.workers.size() > MIN_OTHER_WORKERS && others.mean() > 0) {
            WorkerProgress worker = workers.computeIfAbsent(entry.id(), key -> new WorkerProgress());
            worker.add(Math.min(1.5, percentPerSecond / others.mean()));
            review(entry.id(), worker, now);
        }
    }

    private static boolean lacksProcessorTime(JobStep step, RunObservation observed) {
        return step.bestEffort()
                && observed.gauge() < MIN_GRANTED_SHARE * step.need().millicores();
    }

    private void review(WorkerId id, WorkerProgress worker, long now) {
        if (worker.factor < SLOW_FACTOR && worker.measurements >= MIN_MEASUREMENTS) {
            worker.slowMeasuredNanos = now;
            if (!worker.slow && mayMark()) {
                worker.slow = true;
                events.workerSpeed(id, true, worker.factor);
            }
        } else if (worker.slow && worker.factor >= SOUND_FACTOR) {
            worker.slow = false;
            events.workerSpeed(id, false, worker.factor);
        }
    }

    private boolean mayMark() {
        long slow = workers.values().stream().filter(each -> each.slow).count();
        return slow + 1 <= MAX_SLOW_SHARE * Math.max(3, workers.size());
    }

    /** Returns whether a worker counts as slow. */
    boolean slow(WorkerId worker) {
        WorkerProgress progress = workers.get(worker);
        return progress != null && progress.slow;
    }

    /** Returns the progress of the tasks of a worker relative to other workers, 1 if it is not known. */
    double factor(WorkerId worker) {
        WorkerProgress progress = workers.get(worker);
        return progress == null ? 1 : Math.max(0.01, progress.factor);
    }

    /**
     * Returns whether a worker may get another task.
     *
     * @param worker the worker
     * @param finiteTasks the number of finite tasks on it
     * @param now the current time, in nanoseconds
     */
    boolean accepts(WorkerId worker, int finiteTasks, long now) {
        WorkerProgress progress = workers.get(worker);
        return progress == null
                || !progress.slow
                || (finiteTasks == 0 && now - progress.slowMeasuredNanos >= TRIAL_INTERVAL_NANOS);
    }

    /** Discards what was learned about the steps of a job that has ended. */
    void forget(JobId job) {
        steps.keySet().removeIf(key -> key.job.equals(job));
    }

    /** Discards what was learned about a worker that has gone. */
    void forget(WorkerId worker) {
        workers.remove(worker);
    }

    private record StepKey(JobId job, int occurrence, int step) {
        static StepKey of(TaskKey task) {
            return new StepKey(task.job(), task.occurrence(), task.step());
        }
    }

    /** The progress of the tasks of a step on all workers. */
    private static final class StepProgress {
        private final Set<WorkerId> workers = new HashSet<>();
        private double sum;
        private int count;

        void add(WorkerId worker, double percentPerSecond) {
            workers.add(worker);
            sum += percentPerSecond;
            count++;
        }

        double mean() {
            return sum / count;
        }
    }

    /** The progress of the tasks on a worker relative to other workers, as a moving average. */
    private static final class WorkerProgress {
        private double factor = 1;
        private int measurements;
        private boolean slow;
        private long slowMeasuredNanos;

        void add(double ratio) {
            factor = measurements == 0 ? ratio : factor + MEASUREMENT_WEIGHT * (ratio - factor);
            measurements++;
        }
    }
}
