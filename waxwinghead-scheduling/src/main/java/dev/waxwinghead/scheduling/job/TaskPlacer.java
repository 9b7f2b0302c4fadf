package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/** Chooses workers for tasks within one scheduling round, and deducts the capacity assigned in the round. */
final class TaskPlacer {
    /**
     * The share of a best-effort task's processor request that must be unused on a worker before the task is placed
     * there. Less than 1, since few best-effort tasks use all they request.
     */
    private static final double MIN_UNUSED_SHARE = 0.6;

    /**
     * The weight of the share of a worker's serving tasks that run the same image; the share of free capacity counts
     * against the worker with weight 1. Images tolerate different best-effort tasks, so a worker that serves few
     * different images admits more best-effort tasks, and a worker without serving tasks admits all.
     */
    private static final double SAME_IMAGE_WEIGHT = 2;

    /** Outweighs any free capacity, since tasks take several times as long away from their data. */
    private static final double DATA_RACK_WEIGHT = 10;

    /** Prefers workers that await an answer, since a start reaches other workers only after their next report. */
    private static final double AWAITS_ANSWER_WEIGHT = 0.4;

    /**
     * The weight, for best-effort tasks, of the share of the best-effort work that a worker's serving tasks tolerate;
     * it counts against the worker as much as its used capacity, so that tasks which run anywhere leave the few workers
     * that tolerate a disturbing image to that image.
     */
    private static final double TOLERANCE_WEIGHT = 1;

    /** The free capacity from which a worker counts as having room, in millicores: a small task. */
    private static final long MIN_ROOM_MILLICORES = 500;

    private static final ServiceWorkers NO_WORKERS = new ServiceWorkers();

    /**
     * Outweighs every score, so that a worker that has just started and runs tasks slowly is chosen only if no other
     * worker is eligible.
     */
    private static final double COLD_PENALTY = 1e9;

    private final WorkerHealth<JobId, TaskKey> health;
    private final SlowWorkerDetector slowWorkers;
    private final InterferenceControl interference;
    private final ImageTolerance tolerance;
    private final long now;
    private final Map<ServiceName, ServiceWorkers> candidates = new HashMap<>();
    private final DrainedWorkers drained = new DrainedWorkers();

    TaskPlacer(
            WorkerHealth<JobId, TaskKey> health,
            SlowWorkerDetector slowWorkers,
            InterferenceControl interference,
            ImageTolerance tolerance,
            long now) {
        this.health = health;
        this.slowWorkers = slowWorkers;
        this.interference = interference;
        this.tolerance = tolerance;
        this.now = now;
    }

    void add(WorkerCapacity candidate) {
        candidates
                .computeIfAbsent(candidate.entry().report().service(), service -> new ServiceWorkers())
                .add(candidate, health.acceptsEveryJob(candidate.entry().id()));
    }

    private ServiceWorkers workers(ServiceName service) {
        return candidates.getOrDefault(service, NO_WORKERS);
    }

    /** Adds a worker of a drained data centre, which gets no tasks but explains why tasks wait. */
    void addDrained(WorkerEntry worker) {
        drained.add(worker);
    }

    /**
     * Ranks the workers for the tasks of a step, which are assigned before those of the next step.
     *
     * @param service the service whose workers run the tasks
     * @param job the job
     * @param step the step
     * @param perWorker the number of tasks of the step on each worker; updated with each chosen worker
     * @return the ranked workers, never null
     */
    RankedWorkers rank(ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        return new RankedWorkers(
                () -> eligible(service, job, step, perWorker),
                candidate -> obstacle(candidate, job, step, perWorker).isEmpty(),
                candidate -> score(candidate, step) - coldPenalty(candidate),
                candidate -> allocate(candidate, step, perWorker),
                candidate -> release(candidate, step, perWorker));
    }

    private List<WorkerCapacity> eligible(
            ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        List<WorkerCapacity> unobstructed = obstacles(workers(service), step).unobstructed();
        return unobstructed.stream()
                .filter(candidate -> meetsConstraints(candidate, job, step, perWorker))
                .toList();
    }

    private ShapeObstacles obstacles(ServiceWorkers workers, JobStep step) {
        return workers.obstacles(
                TaskShape.of(step), candidate -> obstacle(candidate, step).orElse(null));
    }

    /**
     * Returns why no worker was found for a task.
     *
     * @param suspect whether a worker crashed under the task
     * @return the reason of the worker that comes closest to being suitable
     */
    WaitReason waitReason(
            ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker, boolean suspect) {
        ServiceWorkers workers = workers(service);
        if (drained.onlyOnesFor(service, step, workers.all())) {
            return WaitReason.DATA_CENTRE_DRAINED;
        }
        if (step.maxPerWorker() == 0) {
            Set<WorkerCapacity> refusing = workers.selective().stream()
                    .filter(candidate -> !health.accepts(candidate.entry().id(), job, now))
                    .collect(Collectors.toSet());
            return obstacles(workers, step).closest(refusing, suspect);
        }
        WaitReason closest = WaitReason.NO_WORKER;
        for (WorkerCapacity candidate : workers.all()) {
            WaitReason obstacle = obstacle(candidate, job, step, perWorker)
                    .orElse(suspect ? WaitReason.WORKERS_RUN_SUSPECTS : closest);
            closest = obstacle.compareTo(closest) > 0 ? obstacle : closest;
        }
        return closest;
    }

    /** Returns what the labelled worker that lacks least for a task has free, whatever its health. */
    Optional<FreeCapacity> closest(ServiceName service, JobStep step) {
        return workers(service)
                .closest(
                        TaskShape.of(step),
                        candidate -> labelled(candidate, step),
                        candidate -> candidate.shortage(step))
                .map(WorkerCapacity::free);
    }

    /** Returns the eligible worker with the highest score, the first in case of a tie. */
    private Optional<WorkerCapacity> best(
            List<WorkerCapacity> workers, Predicate<WorkerCapacity> eligible, ToDoubleFunction<WorkerCapacity> score) {
        WorkerCapacity best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerCapacity candidate : workers) {
            if (!eligible.test(candidate)) {
                continue;
            }
            double next = score.applyAsDouble(candidate) - coldPenalty(candidate);
            if (next > bestScore) {
                best = candidate;
                bestScore = next;
            }
        }
        return Optional.ofNullable(best);
    }

    private double coldPenalty(WorkerCapacity candidate) {
        return candidate.entry().cold(now) ? COLD_PENALTY : 0;
    }

    private void allocate(WorkerCapacity candidate, JobStep step, Map<WorkerId, Integer> perWorker) {
        candidate.allocate(step);
        workers(candidate.entry().report().service()).changed(candidate);
        perWorker.merge(candidate.entry().id(), 1, Integer::sum);
    }

    private void release(WorkerCapacity candidate, JobStep step, Map<WorkerId, Integer> perWorker) {
        candidate.release(step);
        workers(candidate.entry().report().service()).changed(candidate);
        perWorker.merge(candidate.entry().id(), -1, Integer::sum);
    }

    /**
     * Chooses the worker for a best-effort task of a job that has no running task although much of the service's
     * capacity is free: the worker whose serving tasks keep the most headroom, even if it is less than other tasks
     * require.
     *
     * @param service the service whose workers run the task
     * @param job the job
     * @param step the step
     * @param perWorker the number of tasks of the step on each worker; updated if a worker is chosen
     * @param suspect whether a worker crashed under the task
     * @return the worker; empty if the service has little free capacity, or no suitable worker whose serving tasks are
     *     all within the admission bound of {@link InterferenceControl}
     */
    Optional<WorkerEntry> placeStarved(
            ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker, boolean suspect) {
        ServiceWorkers workers = workers(service);
        if (!workers.mostlyFree()) {
            return Optional.empty();
        }
        ToDoubleFunction<WorkerCapacity> headroom =
                candidate -> interference.headroom(candidate.residents(), step, now);
        Optional<WorkerCapacity> best = best(
                workers.withHeadroom(TaskShape.of(step), headroom),
                candidate -> candidate.fits(step)
                        && hasUnusedCapacity(candidate, step)
                        && (!suspect || candidate.acceptsSuspectOf(job))
                        && meetsConstraints(candidate, job, step, perWorker),
                headroom);
        best.ifPresent(candidate -> allocateStarved(candidate, job, step, perWorker, suspect));
        return best.map(WorkerCapacity::entry);
    }

    /**
     * Chooses the worker for a task of a job that has no running task although much of the service's capacity is free,
     * beyond the limit of tasks on trial.
     *
     * @param service the service whose workers run the task
     * @param job the job
     * @param step the step
     * @param perWorker the number of tasks of the step on each worker; updated if a worker is chosen
     * @param suspect whether a worker crashed under the task
     * @return the worker; empty if the service has little free capacity, or no suitable worker that is not quarantined
     */
    Optional<WorkerEntry> placeStarvedOnTrial(
            ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker, boolean suspect) {
        ServiceWorkers workers = workers(service);
        if (!workers.mostlyFree()) {
            return Optional.empty();
        }
        Optional<WorkerCapacity> best = best(
                workers.all(),
                candidate -> suits(candidate, step, perWorker)
                        && obstacle(candidate, step).isEmpty()
                        && health.acceptsStarved(candidate.entry().id(), job)
                        && (!suspect || candidate.acceptsSuspectOf(job)),
                candidate -> score(candidate, step));
        best.ifPresent(candidate -> allocateStarved(candidate, job, step, perWorker, suspect));
        return best.map(WorkerCapacity::entry);
    }

    private void allocateStarved(
            WorkerCapacity candidate, JobId job, JobStep step, Map<WorkerId, Integer> perWorker, boolean suspect) {
        allocate(candidate, step, perWorker);
        if (suspect) {
            candidate.addSuspectOf(job);
        }
    }

    /**
     * Reserves capacity for a task that has to run again and fits on no worker yet, on the worker that lacks least for
     * it. A worker that the next round prefers lacks no more, so room gathers although nothing is kept between rounds.
     *
     * @param service the service whose workers run the task
     * @param job the job
     * @param step the step
     * @param perWorker the number of tasks of the step on each worker; updated if a worker is chosen
     * @return true if capacity was reserved, so that the worker gets only tasks that fit beside the reservation in this
     *     round; false if no eligible worker would have room even after all finite tasks there have ended
     */
    boolean reserve(ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        Optional<WorkerCapacity> closest = workers(service).all().stream()
                .filter(candidate ->
                        candidate.fitsEventually(step) && meetsConstraints(candidate, job, step, perWorker))
                .min(Comparator.comparingDouble(this::coldPenalty)
                        .thenComparingDouble(candidate -> candidate.shortage(step))
                        .thenComparingLong(candidate -> -candidate.freeMillicores()));
        closest.ifPresent(candidate -> allocate(candidate, step, perWorker));
        return closest.isPresent();
    }

    private Optional<WaitReason> obstacle(
            WorkerCapacity candidate, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        if (!suits(candidate, step, perWorker)) {
            return Optional.of(WaitReason.NO_SUITABLE_WORKER);
        }
        if (!health.accepts(candidate.entry().id(), job, now)) {
            return Optional.of(WaitReason.WORKERS_RESTRICTED);
        }
        return obstacle(candidate, step);
    }

    /** Returns the obstacle to tasks of a step whatever the job; depends only on the shape of the tasks. */
    private Optional<WaitReason> obstacle(WorkerCapacity candidate, JobStep step) {
        if (!labelled(candidate, step)) {
            return Optional.of(WaitReason.NO_SUITABLE_WORKER);
        }
        if (!step.lasting() && !slowWorkers.accepts(candidate.entry().id(), candidate.finiteTasks(), now)) {
            return Optional.of(WaitReason.WORKERS_SLOW);
        }
        if (!candidate.fits(step) || (step.bestEffort() && !hasUnusedCapacity(candidate, step))) {
            return Optional.of(WaitReason.NO_CAPACITY);
        }
        if (step.bestEffort() && !interference.admits(candidate.residents(), candidate.arriving(), step, now)) {
            return Optional.of(WaitReason.SERVING_TASKS_NEAR_TARGET);
        }
        return Optional.empty();
    }

    private boolean meetsConstraints(
            WorkerCapacity candidate, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        return suits(candidate, step, perWorker)
                && health.accepts(candidate.entry().id(), job, now);
    }

    private static boolean suits(WorkerCapacity candidate, JobStep step, Map<WorkerId, Integer> perWorker) {
        return labelled(candidate, step)
                && (step.maxPerWorker() == 0
                        || perWorker.getOrDefault(candidate.entry().id(), 0) < step.maxPerWorker());
    }

    private static boolean labelled(WorkerCapacity candidate, JobStep step) {
        return step.requiredLabel().isEmpty()
                || candidate.entry().report().labels().contains(step.requiredLabel());
    }

    private static boolean hasUnusedCapacity(WorkerCapacity candidate, JobStep step) {
        return candidate.unusedMillicores() >= MIN_UNUSED_SHARE * step.need().millicores();
    }

    private double score(WorkerCapacity candidate, JobStep step) {
        double capacity = Math.max(1, candidate.entry().report().capacity().millicores());
        double locality = !step.dataRack().isEmpty()
                        && step.dataRack().equals(candidate.entry().report().rack())
                ? DATA_RACK_WEIGHT
                : 0;
        double promptness = candidate.entry().awaitsAnswer() ? AWAITS_ANSWER_WEIGHT : 0;
        if (step.bestEffort()) {
            return locality
                    + promptness
                    + candidate.unusedMillicores() / capacity
                    - TOLERANCE_WEIGHT * tolerance.share(candidate.servingImages());
        }
        if (step.serves()) {
            return locality
                    + SAME_IMAGE_WEIGHT * candidate.shareOfImage(step.image())
                    - candidate.freeMillicores() / capacity;
        }
        return locality + promptness + candidate.freeMillicores() / capacity;
    }

    /** Records on each worker whether it has room after this round. */
    void recordRoom() {
        for (ServiceWorkers workers : candidates.values()) {
            for (WorkerCapacity worker : workers.all()) {
                worker.entry()
                        .hasRoom(worker.freeMillicores() >= MIN_ROOM_MILLICORES
                                || worker.unusedMillicores() >= MIN_ROOM_MILLICORES);
            }
        }
    }
}
