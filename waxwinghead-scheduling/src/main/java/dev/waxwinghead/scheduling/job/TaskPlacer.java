package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

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

    /** The free capacity from which a worker counts as having room, in millicores: a small task. */
    private static final long MIN_ROOM_MILLICORES = 500;

    /** The share of free capacity from which no job may be left without a running task: one half less a margin. */
    private static final double MOSTLY_FREE_SHARE = 0.45;

    private final WorkerHealth<JobId, TaskKey> health;
    private final SlowWorkerDetector slowWorkers;
    private final InterferenceControl interference;
    private final long now;
    private final Map<ServiceName, List<WorkerCapacity>> candidates = new HashMap<>();

    TaskPlacer(
            WorkerHealth<JobId, TaskKey> health,
            SlowWorkerDetector slowWorkers,
            InterferenceControl interference,
            long now) {
        this.health = health;
        this.slowWorkers = slowWorkers;
        this.interference = interference;
        this.now = now;
    }

    void add(WorkerCapacity candidate) {
        candidates
                .computeIfAbsent(candidate.entry().report().service(), service -> new ArrayList<>())
                .add(candidate);
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
                candidates.getOrDefault(service, List.of()),
                candidate -> obstacle(candidate, job, step, perWorker).isEmpty(),
                candidate -> score(candidate, step),
                candidate -> allocate(candidate, step, perWorker),
                candidate -> release(candidate, step, perWorker));
    }

    /**
     * Returns why no worker was found for a task.
     *
     * @param suspect whether a worker crashed under the task
     * @return the reason of the worker that comes closest to being suitable
     */
    WaitReason waitReason(
            ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker, boolean suspect) {
        WaitReason closest = WaitReason.NO_WORKER;
        for (WorkerCapacity candidate : candidates.getOrDefault(service, List.of())) {
            WaitReason obstacle = obstacle(candidate, job, step, perWorker)
                    .orElse(suspect ? WaitReason.WORKERS_RUN_SUSPECTS : closest);
            closest = obstacle.compareTo(closest) > 0 ? obstacle : closest;
        }
        return closest;
    }

    /** Returns the eligible worker with the highest score, the first in case of a tie. */
    private Optional<WorkerCapacity> best(
            ServiceName service, Predicate<WorkerCapacity> eligible, ToDoubleFunction<WorkerCapacity> score) {
        WorkerCapacity best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerCapacity candidate : candidates.getOrDefault(service, List.of())) {
            if (!eligible.test(candidate)) {
                continue;
            }
            double next = score.applyAsDouble(candidate);
            if (next > bestScore) {
                best = candidate;
                bestScore = next;
            }
        }
        return Optional.ofNullable(best);
    }

    private static void allocate(WorkerCapacity candidate, JobStep step, Map<WorkerId, Integer> perWorker) {
        candidate.allocate(step);
        perWorker.merge(candidate.entry().id(), 1, Integer::sum);
    }

    private static void release(WorkerCapacity candidate, JobStep step, Map<WorkerId, Integer> perWorker) {
        candidate.release(step);
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
        if (!mostlyFree(service)) {
            return Optional.empty();
        }
        Optional<WorkerCapacity> best = best(
                service,
                candidate -> candidate.fits(step)
                        && hasUnusedCapacity(candidate, step)
                        && (!suspect || candidate.acceptsSuspectOf(job))
                        && meetsConstraints(candidate, job, step, perWorker),
                candidate -> interference.headroom(candidate.residents(), step, now));
        best.ifPresent(candidate -> {
            allocate(candidate, step, perWorker);
            if (suspect) {
                candidate.addSuspectOf(job);
            }
        });
        return best.map(WorkerCapacity::entry);
    }

    private boolean mostlyFree(ServiceName service) {
        long free = 0;
        long capacity = 0;
        for (WorkerCapacity candidate : candidates.getOrDefault(service, List.of())) {
            free += Math.max(0, candidate.freeMillicores());
            capacity += candidate.entry().report().capacity().millicores();
        }
        return free >= MOSTLY_FREE_SHARE * capacity;
    }

    /**
     * Reserves capacity for a task that has to run again and fits on no worker yet, on the worker with the most free
     * capacity.
     *
     * @param service the service whose workers run the task
     * @param job the job
     * @param step the step
     * @param perWorker the number of tasks of the step on each worker; updated if a worker is chosen
     * @return true if capacity was reserved, so that the worker gets only tasks that fit beside the reservation in this
     *     round; false if no eligible worker would have room even after all finite tasks there have ended
     */
    boolean reserve(ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        Optional<WorkerCapacity> freest = best(
                service,
                candidate -> candidate.fitsEventually(step) && meetsConstraints(candidate, job, step, perWorker),
                WorkerCapacity::freeMillicores);
        freest.ifPresent(candidate -> allocate(candidate, step, perWorker));
        return freest.isPresent();
    }

    private Optional<WaitReason> obstacle(
            WorkerCapacity candidate, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        if (!suits(candidate, step, perWorker)) {
            return Optional.of(WaitReason.NO_SUITABLE_WORKER);
        }
        if (!health.accepts(candidate.entry().id(), job, now)) {
            return Optional.of(WaitReason.WORKERS_RESTRICTED);
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
        boolean labelled = step.requiredLabel().isEmpty()
                || candidate.entry().report().labels().contains(step.requiredLabel());
        return labelled
                && (step.maxPerWorker() == 0
                        || perWorker.getOrDefault(candidate.entry().id(), 0) < step.maxPerWorker());
    }

    private static boolean hasUnusedCapacity(WorkerCapacity candidate, JobStep step) {
        return candidate.unusedMillicores() >= MIN_UNUSED_SHARE * step.need().millicores();
    }

    private static double score(WorkerCapacity candidate, JobStep step) {
        double capacity = Math.max(1, candidate.entry().report().capacity().millicores());
        double locality = !step.dataRack().isEmpty()
                        && step.dataRack().equals(candidate.entry().report().rack())
                ? DATA_RACK_WEIGHT
                : 0;
        double promptness = candidate.entry().awaitsAnswer() ? AWAITS_ANSWER_WEIGHT : 0;
        if (step.bestEffort()) {
            return locality + promptness + candidate.unusedMillicores() / capacity;
        }
        if (step.serves()) {
            return locality
                    + SAME_IMAGE_WEIGHT * candidate.shareOfImage(step.image())
                    - candidate.freeMillicores() / capacity;
        }
        return locality + promptness + candidate.freeMillicores() / capacity;
    }

    /** Returns the processor time that the workers of a service have for finite tasks, in millicores. */
    long finiteRoomMillicores(LoadTracker.Pool pool) {
        return candidates.getOrDefault(pool.service(), List.of()).stream()
                .mapToLong(candidate -> candidate.finiteRoomMillicores(pool.bestEffort()))
                .sum();
    }

    /** Records on each worker whether it has room after this round. */
    void recordRoom() {
        for (List<WorkerCapacity> workers : candidates.values()) {
            for (WorkerCapacity worker : workers) {
                worker.entry()
                        .hasRoom(worker.freeMillicores() >= MIN_ROOM_MILLICORES
                                || worker.unusedMillicores() >= MIN_ROOM_MILLICORES);
            }
        }
    }
}
