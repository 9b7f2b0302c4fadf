package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Plans the starts of one scheduling round, job by job. */
final class StartPlan {
    private final SchedulerState state;
    private final TaskPlacer placer;
    private final long now;
    private final List<JobTransition.Started> transitions = new ArrayList<>();
    private final Map<StepRecord, Map<WorkerId, Integer>> placed = new HashMap<>();

    StartPlan(SchedulerState state, TaskPlacer placer, long now) {
        this.state = state;
        this.placer = placer;
        this.now = now;
    }

    List<JobTransition.Started> transitions() {
        return transitions;
    }

    /** Starts lasting tasks that have run before. They precede all other tasks, as their users are without them. */
    void addReplacements(JobRecord job, long epochMillis) {
        addTasks(job, epochMillis, true);
    }

    /** Starts all other tasks of a job. */
    void add(JobRecord job, long epochMillis) {
        addTasks(job, epochMillis, false);
    }

    private void addTasks(JobRecord job, long epochMillis, boolean replacements) {
        for (int occurrence = 0; occurrence < job.submission().schedule().occurrences(); occurrence++) {
            long due = job.submission().schedule().dueEpochMillis(occurrence);
            if (due > 0 && epochMillis < due + state.times().dueSlack().toMillis()) {
                return;
            }
            for (int position = 0; position < job.submission().steps().size(); position++) {
                StepRecord step = job.occurrence(occurrence).get(position);
                boolean wanted = !replacements || isReplaceable(step.step());
                if (wanted && step.mayHaveWaitingTasks() && job.ready(occurrence, position)) {
                    addStep(job, occurrence, position, step, replacements);
                }
            }
        }
    }

    private static boolean isReplaceable(JobStep step) {
        return step.lasting() && !step.bestEffort() && !step.gang();
    }

    private void addStep(JobRecord job, int occurrence, int position, StepRecord step, boolean replacements) {
        Map<WorkerId, Integer> perWorker = placed.computeIfAbsent(step, StartPlan::perWorker);
        if (step.step().gang()) {
            addGang(job, occurrence, position, step, perWorker);
            return;
        }
        RankedWorkers workers = rank(job, step, perWorker);
        for (int index = 0; index < step.tasks().size(); index++) {
            TaskRecord task = step.tasks().get(index);
            boolean replacement = isReplaceable(step.step()) && task.attempts() > 0;
            if (step.finished(task) || !task.liveRuns().isEmpty() || replacement != replacements) {
                continue;
            }
            TaskKey key = new TaskKey(job.id(), occurrence, position, index);
            if (state.restartPauses().paused(key, now)) {
                continue;
            }
            RunKey run = new RunKey(key, task.attempts() + 1);
            Optional<WorkerEntry> worker = place(workers, key, task);
            if (worker.isPresent()) {
                start(run, worker.get());
                continue;
            }
            recordWait(job, position, step, perWorker, task.suspect());
            if (!replacements) {
                startStarved(job, step, run, perWorker);
                if (!task.suspect()) {
                    return;
                }
            } else if (!reserveCapacity(job, step, perWorker)) {
                return;
            }
        }
    }

    /** Places a task; a suspect is kept away from those of other jobs, so that they do not share a crash. */
    private Optional<WorkerEntry> place(RankedWorkers workers, TaskKey key, TaskRecord task) {
        Set<WorkerId> avoided = state.avoided(key);
        return task.suspect() ? workers.placeSuspect(key.job(), avoided) : workers.place(avoided);
    }

    private void recordWait(
            JobRecord job, int position, StepRecord step, Map<WorkerId, Integer> perWorker, boolean suspect) {
        state.waits()
                .waiting(
                        job,
                        position,
                        () -> placer.waitReason(job.terms().service(), job.id(), step.step(), perWorker, suspect),
                        () -> placer.closest(job.terms().service(), step.step()),
                        now);
    }

    private boolean reserveCapacity(JobRecord job, StepRecord step, Map<WorkerId, Integer> perWorker) {
        return placer.reserve(job.terms().service(), job.id(), step.step(), perWorker);
    }

    /**
     * Starts a single task of a job without live runs: a best-effort task although the serving tasks have no headroom,
     * and after a while any task although the workers that have room for it are not proven.
     */
    private void startStarved(JobRecord job, StepRecord step, RunKey run, Map<WorkerId, Integer> perWorker) {
        if (job.liveRuns() > 0 || started(job)) {
            return;
        }
        boolean suspect = job.task(run.task()).suspect();
        ServiceName service = job.terms().service();
        Optional<WorkerEntry> worker = step.step().bestEffort()
                ? placer.placeStarved(service, job.id(), step.step(), perWorker, suspect)
                : Optional.empty();
        if (worker.isEmpty() && state.starvedJobs().waits(job.id(), now)) {
            worker = placer.placeStarvedOnTrial(service, job.id(), step.step(), perWorker, suspect);
        }
        worker.ifPresent(entry -> start(run, entry));
    }

    /** Returns whether a task of a job was started in this round; the starts of one job are consecutive. */
    private boolean started(JobRecord job) {
        if (transitions.isEmpty()) {
            return false;
        }
        RunKey last = transitions.get(transitions.size() - 1).run();
        return last.task().job().equals(job.id());
    }

    /** Starts all members of a gang or none; a gang without a place takes no capacity from the jobs behind it. */
    private void addGang(
            JobRecord job, int occurrence, int position, StepRecord step, Map<WorkerId, Integer> perWorker) {
        if (step.tasks().stream().allMatch(step::finished) || step.liveRuns() > 0) {
            return;
        }
        if (anyMemberPaused(job, occurrence, position, step)) {
            return;
        }
        int attempt =
                1 + step.tasks().stream().mapToInt(TaskRecord::attempts).max().orElse(0);
        RankedWorkers ranked = rank(job, step, perWorker);
        List<WorkerEntry> workers = new ArrayList<>();
        for (int index = 0; index < step.tasks().size(); index++) {
            TaskKey key = new TaskKey(job.id(), occurrence, position, index);
            TaskRecord task = step.tasks().get(index);
            Optional<WorkerEntry> worker = place(ranked, key, task);
            if (worker.isEmpty()) {
                recordWait(job, position, step, perWorker, task.suspect());
                ranked.releaseAll();
                return;
            }
            workers.add(worker.get());
        }
        for (int index = 0; index < workers.size(); index++) {
            TaskKey key = new TaskKey(job.id(), occurrence, position, index);
            start(new RunKey(key, attempt), workers.get(index));
        }
    }

    private boolean anyMemberPaused(JobRecord job, int occurrence, int position, StepRecord step) {
        return IntStream.range(0, step.tasks().size())
                .mapToObj(index -> new TaskKey(job.id(), occurrence, position, index))
                .anyMatch(key -> state.restartPauses().paused(key, now));
    }

    private RankedWorkers rank(JobRecord job, StepRecord step, Map<WorkerId, Integer> perWorker) {
        return placer.rank(job.terms().service(), job.id(), step.step(), perWorker);
    }

    private void start(RunKey run, WorkerEntry worker) {
        transitions.add(new JobTransition.Started(run, worker.incarnation()));
        state.recordStart(run, worker.incarnation());
        state.starvedJobs().remove(run.task().job());
        if (state.step(run.task()).filter(JobStep::lasting).isPresent()) {
            state.restartPauses().started(run.task(), now);
        }
        state.events().starting(run, worker.incarnation(), state.table().epoch());
    }

    static Map<WorkerId, Integer> perWorker(StepRecord step) {
        Map<WorkerId, Integer> perWorker = new HashMap<>();
        if (step.liveRuns() == 0) {
            return perWorker;
        }
        for (TaskRecord task : step.tasks()) {
            for (TaskRecord.LiveRun run : task.liveRuns()) {
                perWorker.merge(run.worker().worker(), 1, Integer::sum);
            }
        }
        return perWorker;
    }
}
