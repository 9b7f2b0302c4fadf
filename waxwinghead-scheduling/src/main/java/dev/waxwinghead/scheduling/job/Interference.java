package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.interference.PairwiseInterference;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Learns which best-effort tasks disturb which serving tasks, and relieves workers whose serving tasks are near their
 * latency targets.
 *
 * <p>Tasks of one image behave alike, so what is learned on one worker holds on all.
 */
final class Interference {
    /** Above this share of its target a serving task is relieved: the gauge is half a second old and rough. */
    private static final double RELIEF_AT = 0.92;

    /** Up to this share of its target a serving task may be brought by the next best-effort task. */
    private static final double LOG_ROOM_UP_TO = Math.log(0.85);

    /** How long a serving task may be over its target before all best-effort tasks leave; half of what is allowed. */
    private static final long LONGEST_OVER_TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    /** A task that raises the logarithm of a latency by less is not worth moving. */
    private static final double LEAST_HARM = 0.15;

    /** Multiples of the target outside these bounds say no more about a serving task. */
    private static final double MIN_RATIO = 0.05;

    private static final double MAX_RATIO = 4;

    /** A task that raises the logarithm of a latency by less is taken as harmless: gauges are not exacter. */
    private static final double HARMLESS = 0.12;

    /** The processor time that counts as one unit of interference, in millicores. */
    private static final double UNIT_MILLICORES = 500;

    /** The gauges cover half a second, so what one relief brought shows only after that. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

    /** How often one worker's gauges are learned from: they change little in less. */
    private static final long LEARN_NANOS = TimeUnit.MILLISECONDS.toNanos(240);

    private final PairwiseInterference model = PairwiseInterference.create();

    /**
     * Takes a worker's newest gauges in.
     *
     * @param entry the worker
     * @param residents the tasks that the report lists
     */
    void learn(WorkerEntry entry, List<Resident> residents, long now) {
        if (!entry.learnDue(now, LEARN_NANOS)) {
            return;
        }
        Map<String, Double> beside = new HashMap<>();
        for (Resident resident : residents) {
            if (resident.step().bestEffort() && resident.observed().gauge() > 0) {
                beside.merge(resident.step().image(), resident.observed().gauge() / UNIT_MILLICORES, Double::sum);
            }
        }
        for (Resident resident : residents) {
            if (resident.atWork()) {
                model.learn(resident.job(), resident.step().image(), beside, resident.logRatio(), now);
            }
        }
    }

    /**
     * Chooses the best-effort task that most likely strains the worker's worst serving task.
     *
     * @return the task to take off the worker, empty if none is needed or the last one was taken off just now
     */
    Optional<Resident> relief(WorkerEntry entry, List<Resident> residents, long now) {
        Optional<Resident> worst = worst(residents);
        if (worst.isEmpty() || worst.get().ratio() < RELIEF_AT || !entry.reliefDue(now, SETTLE_NANOS)) {
            return Optional.empty();
        }
        Resident guilty = null;
        double most = LEAST_HARM;
        for (Resident resident : residents) {
            boolean candidate =
                    resident.step().bestEffort() && !entry.stopping().contains(resident.run());
            double harm = candidate ? harm(worst.get(), resident, now) : 0;
            if (harm > most) {
                guilty = resident;
                most = harm;
            }
        }
        if (guilty != null) {
            entry.relieved(now);
        }
        return Optional.ofNullable(guilty);
    }

    /**
     * Tells whether a serving task has been over its target for so long that no best-effort task may stay beside it.
     *
     * <p>This holds whatever the model says: it is what protects users from what the model has wrong.
     */
    static boolean overdue(List<Resident> residents, long now) {
        for (Resident resident : residents) {
            if (resident.atWork() && resident.observed().overTargetSince(now) > LONGEST_OVER_TARGET_NANOS) {
                return true;
            }
        }
        return false;
    }

    /** Returns the pairs that the model knows, for a log line. */
    String describe(long now) {
        return model.describe(now);
    }

    /** Tells whether a worker's serving tasks bear another best-effort task, also at the next peak of their load. */
    boolean bears(List<Resident> residents, JobStep step, long now) {
        double units = step.need().millicores() / UNIT_MILLICORES;
        for (Resident resident : residents) {
            if (resident.step().serves() && !bears(resident, step, units, now)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns how much room a worker's serving tasks would be left with beside another best-effort task.
     *
     * @return the logarithm by which the nearest one stays below its bound at the next peak of its load; negative
     *     infinity if one is past it already
     */
    double roomLeft(List<Resident> residents, JobStep step, long now) {
        double units = step.need().millicores() / UNIT_MILLICORES;
        double least = -LOG_ROOM_UP_TO;
        for (Resident serving : residents) {
            if (serving.step().serves()) {
                least = Math.min(least, roomLeft(serving, step, units, now));
            }
        }
        return least;
    }

    private double roomLeft(Resident serving, JobStep step, double units, long now) {
        if (serving.atWork() && serving.logRatio() > LOG_ROOM_UP_TO) {
            return Double.NEGATIVE_INFINITY;
        }
        double rise = units * model.rise(serving.step().image(), step.image(), now);
        return LOG_ROOM_UP_TO - model.peak(serving.job(), now) - rise;
    }

    private boolean bears(Resident serving, JobStep step, double units, long now) {
        String image = serving.step().image();
        double rise = units * model.rise(image, step.image(), now);
        double present = serving.atWork() ? serving.logRatio() : model.level(serving.job());
        if (present > LOG_ROOM_UP_TO) {
            return false;
        }
        if (!model.knows(image, step.image(), now)) {
            return present + rise <= LOG_ROOM_UP_TO;
        }
        return rise <= HARMLESS || Math.max(present, model.peak(serving.job(), now)) + rise <= LOG_ROOM_UP_TO;
    }

    /** Forgets a job that has ended. */
    void forget(JobId job) {
        model.forget(job.value());
    }

    private double harm(Resident serving, Resident bestEffort, long now) {
        double units = Math.max(1, bestEffort.observed().gauge() / UNIT_MILLICORES);
        return units * model.rise(serving.step().image(), bestEffort.step().image(), now);
    }

    private static Optional<Resident> worst(List<Resident> residents) {
        Resident worst = null;
        for (Resident resident : residents) {
            if (resident.atWork() && (worst == null || resident.ratio() > worst.ratio())) {
                worst = resident;
            }
        }
        return Optional.ofNullable(worst);
    }

    /**
     * Holds a run on a worker with its step.
     *
     * @param run the run
     * @param step the step of its task
     * @param observed what the worker's reports told of it
     */
    record Resident(RunKey run, JobStep step, RunObservation observed) {
        String job() {
            return run.task().job().value();
        }

        /** Returns the logarithm of {@link #ratio()}, within the bounds that say something. */
        double logRatio() {
            return Math.log(Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio())));
        }

        /** Returns the tail of a serving task as a multiple of its target. */
        double ratio() {
            return (double) observed.gauge() / step.targetMillis();
        }

        /** Tells whether it is a serving task that answers its users. */
        boolean atWork() {
            return step.serves() && observed.percent() >= FULL_PERCENT;
        }

        private static final int FULL_PERCENT = 100;
    }
}
