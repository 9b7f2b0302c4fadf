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
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Chooses workers for tasks within one round: it counts what the round has given away already. */
final class TaskPlacer {
    /** Best-effort tasks may ask for this many times what is left unused: few of them use all they ask for. */
    private static final double BEST_EFFORT_SHARE = 0.6;

    /** Stands below any score that free room can give, so that an avoided worker is chosen last. */
    private static final double AVOIDED = 1e6;

    /**
     * Weighs serving tasks of the same image on a worker against little free room: each image bears other best-effort
     * tasks, so workers with few images bear more, and those without serving tasks bear all.
     */
    private static final double ALIKE = 2;

    /** Outweighs any free room: work away from its data takes several times as long. */
    private static final double NEAR = 10;

    /** From this share of free room on, a job may not be left without any running task: a margin below a half. */
    private static final double IDLE_SHARE = 0.45;

    private final WorkerHealth<JobId> health;
    private final Interference interference;
    private final long now;
    private final Map<ServiceName, List<WorkerRoom>> rooms = new HashMap<>();

    TaskPlacer(WorkerHealth<JobId> health, Interference interference, long now) {
        this.health = health;
        this.interference = interference;
        this.now = now;
    }

    void add(WorkerRoom room) {
        rooms.computeIfAbsent(room.entry().report().service(), service -> new ArrayList<>())
                .add(room);
    }

    /**
     * Chooses the worker for one more task of a step, and counts the task there.
     *
     * @param service the service that runs it
     * @param job the job
     * @param step the step
     * @param perWorker how many tasks of the step run on each worker
     * @param avoid workers on which the task failed
     */
    Optional<WorkerEntry> place(
            ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker, Set<WorkerId> avoid) {
        Optional<WorkerRoom> best = best(
                service,
                room -> allowed(room, job, step, perWorker),
                room -> score(room, step) - (avoid.contains(room.entry().id()) ? AVOIDED : 0));
        best.ifPresent(room -> take(room, step, perWorker));
        return best.map(WorkerRoom::entry);
    }

    /** Returns the room with the highest score of those that may be taken, the first of equal ones. */
    private Optional<WorkerRoom> best(
            ServiceName service, Predicate<WorkerRoom> mayBeTaken, ToDoubleFunction<WorkerRoom> score) {
        WorkerRoom best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerRoom room : rooms.getOrDefault(service, List.of())) {
            if (!mayBeTaken.test(room)) {
                continue;
            }
            double next = score.applyAsDouble(room);
            if (next > bestScore) {
                best = room;
                bestScore = next;
            }
        }
        return Optional.ofNullable(best);
    }

    private static void take(WorkerRoom room, JobStep step, Map<WorkerId, Integer> perWorker) {
        room.take(step);
        perWorker.merge(room.entry().id(), 1, Integer::sum);
    }

    /**
     * Chooses the worker for a best-effort task of a job of which nothing runs though much of the service's room is
     * free: the one whose serving tasks are disturbed least, though more than other best-effort tasks may disturb them.
     *
     * @param service the service that runs it
     * @param job the job
     * @param step the step
     * @param perWorker how many tasks of the step run on each worker
     * @return the worker; empty if the service has little free room, or none whose serving tasks are below their
     *     targets
     */
    Optional<WorkerEntry> placeStarved(ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        if (!mostlyFree(service)) {
            return Optional.empty();
        }
        Optional<WorkerRoom> best = best(
                service,
                room -> room.fits(step) && leavesEnough(room, step) && suits(room, job, step, perWorker),
                room -> interference.roomLeft(room.residents(), step, now));
        best.ifPresent(room -> take(room, step, perWorker));
        return best.map(WorkerRoom::entry);
    }

    private boolean mostlyFree(ServiceName service) {
        long free = 0;
        long capacity = 0;
        for (WorkerRoom room : rooms.getOrDefault(service, List.of())) {
            free += Math.max(0, room.freeMillicores());
            capacity += room.entry().report().capacity().millicores();
        }
        return free >= IDLE_SHARE * capacity;
    }

    /**
     * Keeps room for a task that has to run again and fits nowhere yet, on the worker that has most of it.
     *
     * @param service the service that runs it
     * @param job the job
     * @param step the step
     * @param perWorker how many tasks of the step run on each worker
     * @return true if a worker keeps room, and takes no more tasks in this round than fit beside it; false if the task
     *     would fit on none
     */
    boolean reserve(ServiceName service, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        Optional<WorkerRoom> most = best(
                service, room -> room.willFit(step) && suits(room, job, step, perWorker), WorkerRoom::freeMillicores);
        most.ifPresent(room -> take(room, step, perWorker));
        return most.isPresent();
    }

    private boolean allowed(WorkerRoom room, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        return room.fits(step) && calm(room, step) && suits(room, job, step, perWorker);
    }

    private boolean suits(WorkerRoom room, JobId job, JobStep step, Map<WorkerId, Integer> perWorker) {
        WorkerId worker = room.entry().id();
        boolean label =
                step.requiredLabel().isEmpty() || room.entry().report().labels().contains(step.requiredLabel());
        boolean spread = step.maxPerWorker() == 0 || perWorker.getOrDefault(worker, 0) < step.maxPerWorker();
        return label && spread && health.accepts(worker, job, now);
    }

    private boolean calm(WorkerRoom room, JobStep step) {
        if (!step.bestEffort()) {
            return true;
        }
        return leavesEnough(room, step) && interference.bears(room.residents(), step, now);
    }

    private static boolean leavesEnough(WorkerRoom room, JobStep step) {
        return room.leftoverMillicores() >= BEST_EFFORT_SHARE * step.need().millicores();
    }

    private static double score(WorkerRoom room, JobStep step) {
        double capacity = Math.max(1, room.entry().report().capacity().millicores());
        double near = !step.dataRack().isEmpty()
                        && step.dataRack().equals(room.entry().report().rack())
                ? NEAR
                : 0;
        if (step.bestEffort()) {
            return near + room.leftoverMillicores() / capacity;
        }
        if (step.serves()) {
            return near + ALIKE * room.shareOfImage(step.image()) - room.freeMillicores() / capacity;
        }
        return near + room.freeMillicores() / capacity;
    }
}
