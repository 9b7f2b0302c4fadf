package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Plans the transitions that are committed next: ends, losses, starts, and jobs that are forgotten. */
final class TransitionPlanner {
    /** How many transitions one plan holds at most, so that a command stays small. */
    private static final int MAX_TRANSITIONS = 500;

    /** How long a worker that refused a task is passed over: the next report shows its room. */
    private static final long REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Workers that are silent for longer get no new tasks; they report several times a second. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    private final SchedulerState state;
    private final Map<JobId, Long> endedNanos = new HashMap<>();
    private long begunNanos;

    TransitionPlanner(SchedulerState state) {
        this.state = state;
    }

    void begin(long now) {
        begunNanos = now;
        for (JobRecord job : state.table().all()) {
            if (job.state().ended()) {
                endedNanos.putIfAbsent(job.id(), now);
            }
        }
    }

    List<JobTransition> plan(long now, long epochMillis) {
        List<JobTransition> plan = new ArrayList<>();
        planEnds(plan, now);
        planLosses(plan, now);
        planStarts(plan, now, epochMillis);
        planForgetting(plan, now);
        return plan;
    }

    private void planEnds(List<JobTransition> plan, long now) {
        List<WorkerEntry> all = new ArrayList<>(state.book().entries());
        all.addAll(state.book().earlierLives());
        for (WorkerEntry entry : all) {
            entry.ends().values().removeIf(end -> !state.table().isLive(entry.life(), end.run()));
            for (WorkerReport.EndedRun end : entry.ends().values()) {
                if (plan.size() < MAX_TRANSITIONS) {
                    plan.add(new JobTransition.Ended(end.run(), end.end().meaning(), end.checkpoint()));
                    learn(entry, end, now);
                }
            }
        }
    }

    private void learn(WorkerEntry entry, WorkerReport.EndedRun end, long now) {
        state.events().ended(end, entry.life());
        JobId job = end.run().task().job();
        switch (end.end()) {
            case COMPLETED -> state.health().succeeded(entry.id(), job);
            case FAILED -> {
                state.health().failed(entry.id(), job, now);
                state.avoid(end.run().task(), entry.id());
            }
            case REFUSED -> {
                state.health().withdrawn(entry.id());
                entry.refused(now + REFUSAL_NANOS);
            }
            default -> state.health().withdrawn(entry.id());
        }
    }

    private void planLosses(List<JobTransition> plan, long now) {
        for (WorkerLife life : List.copyOf(state.table().busyWorkers())) {
            Optional<WorkerEntry> entry = state.book().find(life);
            if (lost(life, entry, now)) {
                state.events().workerGone(life, entry.isPresent() ? "lease-ended" : "not-heard-of");
                planInterruptions(plan, life, entry);
            }
        }
        forgetLostWorkers(now);
    }

    private boolean lost(WorkerLife life, Optional<WorkerEntry> entry, long now) {
        if (entry.isPresent()) {
            return entry.get().lost(now);
        }
        return state.book().superseded(life)
                || now - begunNanos >= state.times().inheritedLeaseBoundNanos();
    }

    private void planInterruptions(List<JobTransition> plan, WorkerLife life, Optional<WorkerEntry> entry) {
        for (RunKey run : state.table().runsOn(life)) {
            boolean ending = entry.isPresent() && entry.get().ends().containsKey(run);
            if (!ending && plan.size() < MAX_TRANSITIONS) {
                plan.add(new JobTransition.Ended(run, RunEnd.INTERRUPTED, lastCheckpoint(entry, run)));
                state.health().withdrawn(life.worker());
            }
        }
    }

    private static String lastCheckpoint(Optional<WorkerEntry> entry, RunKey run) {
        return entry.map(known -> known.observations().get(run))
                .map(RunObservation::checkpoint)
                .orElse("");
    }

    private void forgetLostWorkers(long now) {
        for (WorkerEntry entry : List.copyOf(state.book().entries())) {
            if (entry.lost(now) && state.table().runsOn(entry.life()).isEmpty()) {
                state.book().forget(entry);
            }
        }
        for (WorkerEntry entry : List.copyOf(state.book().earlierLives())) {
            if (entry.lost(now) && entry.silent(now, state.times().inheritedLeaseBoundNanos())) {
                state.book().forget(entry);
            }
        }
    }

    private void planStarts(List<JobTransition> plan, long now, long epochMillis) {
        if (plan.size() >= MAX_TRANSITIONS || state.table().active().isEmpty()) {
            return;
        }
        StartPlan starts = new StartPlan(state, placer(now));
        List<JobRecord> jobs = JobQueue.ordered(state.table(), epochMillis);
        jobs.forEach(job -> starts.addReplacements(job, epochMillis));
        for (JobRecord job : jobs) {
            starts.add(job, epochMillis);
            if (plan.size() + starts.transitions().size() >= MAX_TRANSITIONS) {
                break;
            }
        }
        plan.addAll(starts.transitions());
    }

    private TaskPlacer placer(long now) {
        TaskPlacer placer = new TaskPlacer(state.health(), state.interference(), now);
        for (WorkerEntry entry : state.book().entries()) {
            state.health().review(entry.id(), now);
            if (takesWork(entry, now)) {
                placer.add(room(entry));
            }
        }
        return placer;
    }

    private static boolean takesWork(WorkerEntry entry, long now) {
        return !entry.report().leaving()
                && !entry.isGone()
                && !entry.refusing(now)
                && !entry.silent(now, SILENCE_NANOS);
    }

    private WorkerRoom room(WorkerEntry entry) {
        WorkerRoom room = new WorkerRoom(entry, state.residents(entry));
        for (RunKey run : state.table().runsOn(entry.life())) {
            state.step(run.task()).ifPresent(room::take);
        }
        return room;
    }

    private void planForgetting(List<JobTransition> plan, long now) {
        for (JobRecord job : state.table().all()) {
            if (job.state().ended() && endedNanos.putIfAbsent(job.id(), now) == null) {
                state.events().jobEnded(job);
                state.forget(job.id());
            }
        }
        for (JobId canceled : state.table().canceledBeforeArrival()) {
            endedNanos.putIfAbsent(canceled, now);
        }
        endedNanos.entrySet().removeIf(ended -> {
            boolean due = now - ended.getValue() > state.times().retention().toNanos();
            if (due && plan.size() < MAX_TRANSITIONS) {
                plan.add(new JobTransition.Forgotten(ended.getKey()));
                return true;
            }
            return false;
        });
    }
}
