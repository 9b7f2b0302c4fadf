package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Assigns the tasks of one step to the eligible workers with the highest scores.
 *
 * <p>Answers the load of wide steps on many workers: all workers are scored once for the step, and only the worker that
 * got a task is scored again.
 */
final class RankedWorkers {
    private static final Comparator<Ranked> ORDER =
            Comparator.comparingDouble((Ranked ranked) -> -ranked.score).thenComparingInt(Ranked::position);

    private final Supplier<List<WorkerCapacity>> workers;
    private final Predicate<WorkerCapacity> eligible;
    private final ToDoubleFunction<WorkerCapacity> score;
    private final Consumer<WorkerCapacity> allocate;
    private final Consumer<WorkerCapacity> release;
    private final List<Runnable> releases = new ArrayList<>();
    private final PriorityQueue<Ranked> ranking = new PriorityQueue<>(ORDER);
    private boolean ranked;

    /**
     * Returns a ranking.
     *
     * @param workers returns the eligible workers, once the first task is placed
     * @param eligible returns whether a worker is eligible still
     * @param score returns the score of a worker
     * @param allocate deducts a task from a worker's capacity
     * @param release reverses {@code allocate}
     */
    RankedWorkers(
            Supplier<List<WorkerCapacity>> workers,
            Predicate<WorkerCapacity> eligible,
            ToDoubleFunction<WorkerCapacity> score,
            Consumer<WorkerCapacity> allocate,
            Consumer<WorkerCapacity> release) {
        this.workers = workers;
        this.eligible = eligible;
        this.score = score;
        this.allocate = allocate;
        this.release = release;
    }

    /**
     * Chooses the worker for another task, and deducts the task from the worker's capacity.
     *
     * @param avoid the workers to choose last, such as those on which the task failed
     * @return the worker, empty if no worker is eligible
     */
    Optional<WorkerEntry> place(Set<WorkerId> avoid) {
        return place(avoid, worker -> true).map(WorkerCapacity::entry);
    }

    /**
     * Chooses the worker for another task as {@link #place(Set)} does, but none with a suspect of another job.
     *
     * @param job the job of the task, under which a worker has crashed
     * @param avoid the workers to choose last
     * @return the worker, empty if no worker is eligible
     */
    Optional<WorkerEntry> placeSuspect(JobId job, Set<WorkerId> avoid) {
        Optional<WorkerCapacity> chosen = place(avoid, worker -> worker.acceptsSuspectOf(job));
        chosen.ifPresent(worker -> {
            worker.addSuspectOf(job);
            releases.add(() -> worker.removeSuspectOf(job));
        });
        return chosen.map(WorkerCapacity::entry);
    }

    /** Gives back the capacity of all tasks that were placed: none of them is started. Ends the use of this ranking. */
    void releaseAll() {
        releases.forEach(Runnable::run);
        releases.clear();
    }

    private Optional<WorkerCapacity> place(Set<WorkerId> avoid, Predicate<WorkerCapacity> suits) {
        rankAll();
        if (ranking.isEmpty()) {
            return Optional.empty();
        }
        List<Ranked> unsuited = new ArrayList<>();
        List<Ranked> avoided = new ArrayList<>();
        Optional<Ranked> best = Optional.empty();
        while (best.isEmpty() && !ranking.isEmpty()) {
            Ranked next = ranking.poll();
            if (!eligible.test(next.worker)) {
                continue;
            }
            if (!suits.test(next.worker)) {
                unsuited.add(next);
            } else if (avoid.contains(next.worker.entry().id())) {
                avoided.add(next);
            } else {
                best = Optional.of(next);
            }
        }
        if (best.isEmpty() && !avoided.isEmpty()) {
            best = Optional.of(avoided.remove(0));
        }
        ranking.addAll(avoided);
        ranking.addAll(unsuited);
        best.ifPresent(chosen -> {
            allocate.accept(chosen.worker);
            releases.add(() -> release.accept(chosen.worker));
            ranking.add(new Ranked(chosen.worker, score.applyAsDouble(chosen.worker)));
        });
        return best.map(Ranked::worker);
    }

    private void rankAll() {
        if (ranked) {
            return;
        }
        ranked = true;
        for (WorkerCapacity worker : workers.get()) {
            ranking.add(new Ranked(worker, score.applyAsDouble(worker)));
        }
    }

    /** A worker with its score; in case of a tie, its position among all workers decides. */
    private record Ranked(WorkerCapacity worker, double score) {
        int position() {
            return worker.position();
        }
    }
}
