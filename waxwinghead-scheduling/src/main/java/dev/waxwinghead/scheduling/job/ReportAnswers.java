package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Takes workers' reports in and answers them with what each worker is to start, stop and pace. */
final class ReportAnswers {
    /** How many reports a second all workers together send when none has news. */
    private static final int REPORTS_PER_SECOND = 300;

    private static final long MIN_REPORT_MILLIS = 100;
    private static final long MAX_REPORT_MILLIS = 1000;

    /** A task that was told to leave a worker is gone within this share of the worker's remaining time. */
    private static final double LEAVING_MARGIN = 0.7;

    private final SchedulerState state;

    ReportAnswers(SchedulerState state) {
        this.state = state;
    }

    Optional<WorkerOrders> answer(WorkerReport report, long now) {
        boolean known = state.book().find(report.life()).isPresent();
        Optional<WorkerEntry> taken = state.book().take(report, now);
        if (taken.isEmpty()) {
            state.events().reportPassedOver(report);
            return Optional.empty();
        }
        WorkerEntry entry = taken.get();
        if (!known) {
            state.events().workerSeen(report);
        }
        entry.extendLease(now + state.times().leaseBoundNanos());
        noteProgress(entry);
        List<Interference.Resident> residents = state.residents(entry);
        state.interference().learn(entry, residents, now);
        markStops(entry, now);
        relieve(entry, residents, now);
        return Optional.of(orders(entry));
    }

    private void noteProgress(WorkerEntry entry) {
        WorkerId worker = entry.id();
        for (Map.Entry<RunKey, RunObservation> observed : entry.observations().entrySet()) {
            TaskKey task = observed.getKey().task();
            if (observed.getValue().percent() >= 100 && state.health().restricted(worker)) {
                state.step(task)
                        .filter(JobStep::lasting)
                        .ifPresent(step -> state.health().succeeded(worker, task.job()));
            }
        }
    }

    private void markStops(WorkerEntry entry, long now) {
        entry.stopping().removeIf(run -> !state.table().isLive(entry.life(), run));
        for (RunKey run : state.table().runsOn(entry.life())) {
            if (!entry.stopping().contains(run)) {
                stopReason(entry, run, now).ifPresent(reason -> state.stop(entry, run, reason));
            }
        }
    }

    private Optional<String> stopReason(WorkerEntry entry, RunKey run, long now) {
        Optional<JobRecord> job = state.table().find(run.task().job());
        if (job.isEmpty() || job.get().state().ended()) {
            return Optional.of("job-ended");
        }
        if (job.get().task(run.task()).completed()) {
            return Optional.of("completed-elsewhere");
        }
        RunObservation observed = entry.observations().get(run);
        JobStep step = job.get().step(run.task()).step();
        if (observed == null) {
            return Optional.empty();
        }
        if (entry.report().leaving() && mustMove(entry, step, observed)) {
            return Optional.of("worker-leaving");
        }
        if (StallWatch.stalled(step, observed, now)) {
            state.health().failed(entry.id(), run.task().job(), now);
            state.avoid(run.task(), entry.id());
            return Optional.of("no-progress");
        }
        return Optional.empty();
    }

    private static boolean mustMove(WorkerEntry entry, JobStep step, RunObservation observed) {
        if (step.lasting()) {
            return true;
        }
        double left = step.estimateMillis() * (100 - observed.percent()) / 100.0;
        return step.checkpoints() && left > LEAVING_MARGIN * entry.report().remainingMillis();
    }

    private void relieve(WorkerEntry entry, List<Interference.Resident> residents, long now) {
        for (Interference.Resident resident : residents) {
            if (resident.step().serves()) {
                resident.observed().noteOverTarget(resident.atWork() && resident.ratio() >= 1, now);
            }
        }
        if (Interference.overdue(residents, now)) {
            residents.stream()
                    .filter(resident -> resident.step().bestEffort())
                    .forEach(resident -> state.stop(entry, resident.run(), "beside-overdue-serving-task"));
        }
        state.interference().relief(entry, residents, now).ifPresent(resident -> {
            state.avoid(resident.run().task(), entry.id());
            state.stop(entry, resident.run(), "disturbs-serving-tasks");
        });
    }

    private WorkerOrders orders(WorkerEntry entry) {
        return new WorkerOrders(
                state.times().lease().toMillis(),
                acknowledged(entry),
                state.table().epoch(),
                starts(entry),
                stops(entry),
                paces(entry),
                nextReportMillis());
    }

    private List<WorkerOrders.Start> starts(WorkerEntry entry) {
        Set<RunKey> ended = new HashSet<>();
        entry.report().ended().forEach(end -> ended.add(end.run()));
        List<WorkerOrders.Start> starts = new ArrayList<>();
        for (RunKey run : state.table().runsOn(entry.life())) {
            boolean seen = entry.observations().containsKey(run) || ended.contains(run);
            if (!seen && !entry.stopping().contains(run)) {
                starts.add(start(run));
            }
        }
        return starts;
    }

    private WorkerOrders.Start start(RunKey run) {
        JobRecord job = state.table().find(run.task().job()).orElseThrow();
        return new WorkerOrders.Start(
                run, job.submission().payload(), job.task(run.task()).checkpoint());
    }

    private List<RunKey> stops(WorkerEntry entry) {
        List<RunKey> stops = new ArrayList<>(entry.stopping());
        for (RunKey run : entry.observations().keySet()) {
            if (!state.table().isLive(entry.life(), run) && !entry.ends().containsKey(run)) {
                stops.add(run);
            }
        }
        return stops;
    }

    private long acknowledged(WorkerEntry entry) {
        long acknowledged = 0;
        for (WorkerReport.EndedRun end : entry.report().ended()) {
            if (state.table().isLive(entry.life(), end.run())) {
                return acknowledged;
            }
            acknowledged = end.number();
        }
        return acknowledged;
    }

    /** Keeps best-effort tasks that are to leave from work, so that they disturb no longer while they stop. */
    private List<WorkerOrders.Pace> paces(WorkerEntry entry) {
        List<WorkerOrders.Pace> paces = new ArrayList<>();
        for (RunKey run : entry.stopping()) {
            if (state.step(run.task()).filter(JobStep::bestEffort).isPresent()) {
                paces.add(new WorkerOrders.Pace(run, 0));
            }
        }
        return paces;
    }

    private long nextReportMillis() {
        long spread = 1000L * state.book().entries().size() / REPORTS_PER_SECOND;
        return Math.max(MIN_REPORT_MILLIS, Math.min(MAX_REPORT_MILLIS, spread));
    }
}
