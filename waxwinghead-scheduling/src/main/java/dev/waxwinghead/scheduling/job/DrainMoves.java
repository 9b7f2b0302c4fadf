package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Moves running tasks from the workers of drained data centres: lasting tasks first, one step at a time, then
 * best-effort tasks with checkpoints. All other tasks run to completion.
 *
 * <p>A task is stopped only if a worker elsewhere has capacity for its next run. That capacity is deducted in every
 * round until the stopped run has ended, so that no other task takes it.
 */
final class DrainMoves {
    /** The reason of stops that a drain causes. */
    static final String STOP_REASON = "data-centre-drained";

    /** The maximum number of tasks that one round stops, which bounds the duration of the round. */
    private static final int MAX_MOVES = 50;

    /** Tasks listed by an older report count as unavailable; workers report several times a second. */
    private static final long MAX_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final SchedulerState state;
    /** The attempts that were stopped, by task, until the task has a later run. */
    private final Map<TaskKey, Integer> moving = new LinkedHashMap<>();

    DrainMoves(SchedulerState state) {
        this.state = state;
    }

    /** Discards the moves of an earlier term of this scheduler, whose stops are no longer known. */
    void takeOver() {
        moving.clear();
    }

    /**
     * Stops the tasks that move next and deducts the capacity for their next runs.
     *
     * @param jobs the active jobs in the order in which their tasks are started
     * @param placer the workers outside drained data centres
     * @param now the current time, in nanoseconds of a monotonic clock
     */
    void plan(List<JobRecord> jobs, TaskPlacer placer, long now) {
        if (state.table().drainedDataCentres().isEmpty()) {
            moving.clear();
            return;
        }
        moving.keySet().removeIf(this::settled);
        Map<StepRecord, List<Candidate>> candidates = candidates(jobs);
        Optional<StepRecord> lasting = reserveForMoving(placer);
        for (Map.Entry<StepRecord, List<Candidate>> step : candidates.entrySet()) {
            boolean next = lasting.isEmpty() || lasting.get() == step.getKey();
            if (step.getKey().step().lasting() && next && moveLasting(step.getKey(), step.getValue(), placer, now)) {
                return;
            }
        }
        if (lasting.isEmpty()) {
            candidates.forEach((step, runs) -> moveBestEffort(step, runs, placer));
        }
    }

    /** Returns whether a task that was stopped has a later run, or needs none. */
    private boolean settled(TaskKey task) {
        int stopped = moving.get(task);
        return !state.mayRunAgain(task)
                || state.table().find(task.job()).orElseThrow().task(task).liveRuns().stream()
                        .anyMatch(run -> run.attempt() > stopped);
    }

    /**
     * Deducts the capacity for the next runs of the stopped tasks whose runs have not ended. Returns the lasting step
     * whose tasks are moving, if any.
     */
    private Optional<StepRecord> reserveForMoving(TaskPlacer placer) {
        Optional<StepRecord> lasting = Optional.empty();
        Map<StepRecord, List<TaskKey>> stopping = new LinkedHashMap<>();
        for (Map.Entry<TaskKey, Integer> move : moving.entrySet()) {
            JobRecord job = state.table().find(move.getKey().job()).orElseThrow();
            StepRecord step = job.step(move.getKey());
            if (step.step().lasting()) {
                lasting = Optional.of(step);
            }
            if (job.task(move.getKey()).find(move.getValue()).isPresent()) {
                stopping.computeIfAbsent(step, key -> new ArrayList<>()).add(move.getKey());
            }
        }
        stopping.forEach((step, tasks) -> {
            JobRecord job = state.table().find(tasks.get(0).job()).orElseThrow();
            RankedWorkers ranked = ranked(job, step, placer);
            tasks.forEach(task -> place(ranked, task, job.task(task)));
        });
        return lasting;
    }

    /** Returns the runs that workers of drained data centres list, by step, in the order of the jobs. */
    private Map<StepRecord, List<Candidate>> candidates(List<JobRecord> jobs) {
        Map<JobId, List<Candidate>> byJob = new HashMap<>();
        for (WorkerEntry entry : state.workers().entries()) {
            if (state.drained(entry)) {
                for (RunKey run : entry.observations().keySet()) {
                    if (mayMove(entry, run)) {
                        byJob.computeIfAbsent(run.task().job(), job -> new ArrayList<>())
                                .add(new Candidate(run, entry));
                    }
                }
            }
        }
        Map<StepRecord, List<Candidate>> bySteps = new LinkedHashMap<>();
        for (JobRecord job : jobs) {
            byJob.getOrDefault(job.id(), List.of()).stream()
                    .sorted(Candidate.ORDER)
                    .forEach(candidate -> bySteps.computeIfAbsent(
                                    job.step(candidate.run.task()), step -> new ArrayList<>())
                            .add(candidate));
        }
        return bySteps;
    }

    private boolean mayMove(WorkerEntry entry, RunKey run) {
        return state.table().isLive(entry.incarnation(), run)
                && !entry.stopping().contains(run)
                && !entry.ends().containsKey(run)
                && state.mayRunAgain(run.task());
    }

    /** Stops tasks of a lasting step within its budget. Returns whether any was stopped. */
    private boolean moveLasting(StepRecord step, List<Candidate> candidates, TaskPlacer placer, long now) {
        int limit = step.step().maxUnavailable();
        long spare = limit == 0
                ? Long.MAX_VALUE
                : limit - unavailable(step, candidates.get(0).run.task(), now);
        JobRecord job = candidates.get(0).job(state);
        if (step.step().gang()) {
            // A gang breaks as a whole, so that all its members become unavailable.
            boolean withinLimit = limit == 0 || step.tasks().size() <= limit;
            return withinLimit && moveGang(job, step, candidates, placer);
        }
        RankedWorkers ranked = ranked(job, step, placer);
        int moved = 0;
        for (Candidate candidate : candidates) {
            TaskRecord task = job.task(candidate.run.task());
            boolean available = available(candidate.run.task(), task, now);
            if (moved >= MAX_MOVES || (available && spare <= 0)) {
                continue;
            }
            if (!place(ranked, candidate.run.task(), task)) {
                break;
            }
            stop(candidate);
            moved++;
            spare -= available ? 1 : 0;
        }
        return moved > 0;
    }

    /** Stops the members of a gang in drained data centres if all its members have a place for the next attempt. */
    private boolean moveGang(JobRecord job, StepRecord step, List<Candidate> candidates, TaskPlacer placer) {
        RankedWorkers ranked = ranked(job, step, placer);
        TaskKey first = candidates.get(0).run.task();
        for (int index = 0; index < step.tasks().size(); index++) {
            if (!place(ranked, member(first, index), step.tasks().get(index))) {
                ranked.releaseAll();
                return false;
            }
        }
        candidates.forEach(this::stop);
        return true;
    }

    /** Stops best-effort tasks that resume from a checkpoint and would run for longer than a move takes. */
    private void moveBestEffort(StepRecord step, List<Candidate> candidates, TaskPlacer placer) {
        JobStep submitted = step.step();
        if (!submitted.bestEffort() || !submitted.checkpoints() || submitted.lasting() || submitted.gang()) {
            return;
        }
        JobRecord job = candidates.get(0).job(state);
        RankedWorkers ranked = ranked(job, step, placer);
        int moved = 0;
        for (Candidate candidate : candidates) {
            TaskRecord task = job.task(candidate.run.task());
            boolean worthwhile = candidate.remainingMillis(submitted) > ReportHandler.MOVE_MILLIS;
            if (moved >= MAX_MOVES || !worthwhile || task.liveRuns().size() > 1) {
                continue;
            }
            if (!place(ranked, candidate.run.task(), task)) {
                return;
            }
            stop(candidate);
            moved++;
        }
    }

    private void stop(Candidate candidate) {
        moving.put(candidate.run.task(), candidate.run.attempt());
        state.requestStop(candidate.worker, candidate.run, STOP_REASON);
    }

    private static RankedWorkers ranked(JobRecord job, StepRecord step, TaskPlacer placer) {
        return placer.rank(job.terms().service(), job.id(), step.step(), StartPlan.perWorker(step));
    }

    private boolean place(RankedWorkers ranked, TaskKey key, TaskRecord task) {
        Set<WorkerId> avoided = state.avoided(key);
        Optional<WorkerEntry> worker = task.suspect() ? ranked.placeSuspect(key.job(), avoided) : ranked.place(avoided);
        return worker.isPresent();
    }

    /** Returns the number of unavailable tasks of a step, one of whose tasks is given. */
    private long unavailable(StepRecord step, TaskKey any, long now) {
        return IntStream.range(0, step.tasks().size())
                .filter(index -> !available(member(any, index), step.tasks().get(index), now))
                .count();
    }

    /** Returns whether a worker lists a task as ready and is not stopping it. */
    private boolean available(TaskKey key, TaskRecord task, long now) {
        return task.liveRuns().stream()
                .anyMatch(run -> state.workers()
                        .find(run.worker())
                        .filter(entry -> isReady(entry, new RunKey(key, run.attempt()), now))
                        .isPresent());
    }

    private static boolean isReady(WorkerEntry entry, RunKey run, long now) {
        RunObservation observed = entry.observations().get(run);
        return observed != null
                && observed.percent() >= 100
                && !entry.lost(now)
                && !entry.silentFor(now, MAX_REPORT_AGE_NANOS)
                && !entry.stopping().contains(run);
    }

    private static TaskKey member(TaskKey any, int index) {
        return new TaskKey(any.job(), any.occurrence(), any.step(), index);
    }

    /** A run on a worker of a drained data centre that may be moved. */
    private record Candidate(RunKey run, WorkerEntry worker) {
        /** Tasks that are not ready come first, since their move costs nothing of the budget. */
        private static final Comparator<Candidate> ORDER = Comparator.comparing(
                        (Candidate candidate) -> candidate.observed().percent() >= 100)
                .thenComparingInt(candidate -> candidate.run.task().occurrence())
                .thenComparingInt(candidate -> candidate.run.task().step())
                .thenComparingInt(candidate -> candidate.run.task().index());

        RunObservation observed() {
            return worker.observations().get(run);
        }

        JobRecord job(SchedulerState state) {
            return state.table().find(run.task().job()).orElseThrow();
        }

        double remainingMillis(JobStep step) {
            return step.estimateMillis() * (100 - observed().percent()) / 100.0;
        }
    }
}
