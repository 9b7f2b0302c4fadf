package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Acts on the jobs of a {@link JobTable}: it answers the workers' reports and plans the transitions of the tasks.
 *
 * <p>A start is sent only once it stands in the table, and a run counts as live until its end stands there. An end is
 * acknowledged to the worker only then. Callers hold the table's monitor.
 *
 * @since 0.2
 */
public final class JobScheduler {
    /** How many transitions one plan holds at most, so that a command stays small. */
    private static final int MAX_TRANSITIONS = 500;

    /** How long a worker that refused a task is passed over: the next report shows its room. */
    private static final long REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** How long the first quarantine of a worker lasts on which jobs fail that run well elsewhere. */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** Workers that are silent for longer get no new tasks; they report several times a second. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);

    /** How many reports a second all workers together send when none has news. */
    private static final int REPORTS_PER_SECOND = 300;

    /** How often what was learned of images is logged. */
    private static final long DESCRIBE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long MIN_REPORT_MILLIS = 100;
    private static final long MAX_REPORT_MILLIS = 1000;

    /** A task that was told to leave a worker is gone within this share of the worker's remaining time. */
    private static final double LEAVING_MARGIN = 0.7;

    private final JobTable table;
    private final SchedulerTimes times;
    private final SchedulerEvents events;
    private WorkerBook book = new WorkerBook();
    private final WorkerHealth<JobId> health = WorkerHealth.create(QUARANTINE_NANOS);
    private final Disturbance disturbance = new Disturbance();
    private final Map<TaskKey, Set<WorkerId>> failedOn = new HashMap<>();
    private final Map<JobId, Long> endedNanos = new HashMap<>();
    private long begunNanos;
    private long describedNanos;

    private JobScheduler(JobTable table, SchedulerTimes times, SchedulerEvents events) {
        this.table = table;
        this.times = times;
        this.events = events;
    }

    /**
     * Returns a scheduler over a table.
     *
     * @param table the table
     * @param times the times it keeps to
     * @param events is told of each decision
     * @return the scheduler, never null
     */
    public static JobScheduler of(JobTable table, SchedulerTimes times, SchedulerEvents events) {
        return new JobScheduler(table, times, events);
    }

    /**
     * Takes note that this scheduler has taken over and the table holds all that its predecessors did. What it knew of
     * workers is void: another scheduler may have given them leases meanwhile. What it learned about images holds.
     *
     * @param now the time now, in nanoseconds of a monotonic clock
     */
    public void begin(long now) {
        begunNanos = now;
        book = new WorkerBook();
        for (JobRecord job : table.all()) {
            if (job.state().ended()) {
                endedNanos.putIfAbsent(job.id(), now);
            }
        }
    }

    /**
     * Takes a worker's report in.
     *
     * @param report the report
     * @param now the time now, in nanoseconds of a monotonic clock
     * @return the answer; empty for a report that is late or of a life that is over
     */
    public Optional<WorkerOrders> report(WorkerReport report, long now) {
        boolean known = book.find(report.life()).isPresent();
        Optional<WorkerEntry> taken = book.take(report, now);
        if (taken.isEmpty()) {
            events.reportPassedOver(report);
            return Optional.empty();
        }
        WorkerEntry entry = taken.get();
        if (!known) {
            events.workerSeen(report);
        }
        entry.extendLease(now + times.leaseBoundNanos());
        noteProgress(entry);
        List<Disturbance.Resident> residents = residents(entry);
        disturbance.learn(entry, residents, now);
        markStops(entry, now);
        relieve(entry, residents, now);
        return Optional.of(orders(entry));
    }

    /**
     * Takes note that a worker says it exits.
     *
     * @param life the worker's life
     * @param now the time now, in nanoseconds of a monotonic clock
     */
    public void left(WorkerLife life, long now) {
        book.find(life).ifPresent(entry -> {
            entry.gone(now + times.reportTimeout().toNanos());
            events.workerGone(life, "left");
        });
    }

    /**
     * Tells whether a worker's current life is known.
     *
     * @param worker the worker
     * @return its life, if it is known
     */
    public Optional<WorkerLife> lifeOf(WorkerId worker) {
        return book.find(worker).map(WorkerEntry::life);
    }

    /**
     * Plans the next transitions. They are to be committed before this is called again.
     *
     * @param now the time now, in nanoseconds of a monotonic clock
     * @param epochMillis the wall-clock time, in milliseconds
     * @return the transitions in order, empty if there is nothing to do
     */
    public List<JobTransition> plan(long now, long epochMillis) {
        List<JobTransition> plan = new ArrayList<>();
        planEnds(plan, now);
        planLosses(plan, now);
        planStarts(plan, now, epochMillis);
        planForgetting(plan, now);
        if (now - describedNanos > DESCRIBE_NANOS) {
            describedNanos = now;
            events.learned(disturbance.describe(now));
        }
        return plan;
    }

    private void noteProgress(WorkerEntry entry) {
        for (Map.Entry<RunKey, RunObservation> observed : entry.observations().entrySet()) {
            RunKey run = observed.getKey();
            if (observed.getValue().percent() >= 100 && health.restricted(entry.id())) {
                step(run.task())
                        .filter(JobStep::lasting)
                        .ifPresent(
                                step -> health.succeeded(entry.id(), run.task().job()));
            }
        }
    }

    private List<Disturbance.Resident> residents(WorkerEntry entry) {
        List<Disturbance.Resident> residents =
                new ArrayList<>(entry.observations().size());
        entry.observations()
                .forEach((run, observed) -> step(run.task())
                        .ifPresent(step -> residents.add(new Disturbance.Resident(run, step, observed))));
        return residents;
    }

    private void relieve(WorkerEntry entry, List<Disturbance.Resident> residents, long now) {
        for (Disturbance.Resident resident : residents) {
            if (resident.step().serves()) {
                resident.observed().noteOverTarget(resident.atWork() && resident.ratio() >= 1, now);
            }
        }
        if (Disturbance.overdue(residents, now)) {
            takeOffBestEffort(entry, residents);
        }
        disturbance.relief(entry, residents, now).ifPresent(resident -> {
            entry.stopping().add(resident.run());
            avoid(resident.run().task(), entry.id());
            events.stopping(resident.run(), entry.life(), "disturbs-serving-tasks");
        });
    }

    private void takeOffBestEffort(WorkerEntry entry, List<Disturbance.Resident> residents) {
        for (Disturbance.Resident resident : residents) {
            if (resident.step().bestEffort() && entry.stopping().add(resident.run())) {
                events.stopping(resident.run(), entry.life(), "beside-overdue-serving-task");
            }
        }
    }

    private Optional<JobStep> step(TaskKey task) {
        return table.find(task.job())
                .filter(job -> job.holds(task))
                .map(job -> job.step(task).step());
    }

    private void markStops(WorkerEntry entry, long now) {
        entry.stopping().removeIf(run -> !table.isLive(entry.life(), run));
        for (RunKey run : table.runsOn(entry.life())) {
            if (!entry.stopping().contains(run)) {
                stopReason(entry, run, now).ifPresent(reason -> {
                    entry.stopping().add(run);
                    events.stopping(run, entry.life(), reason);
                });
            }
        }
    }

    private Optional<String> stopReason(WorkerEntry entry, RunKey run, long now) {
        Optional<JobRecord> job = table.find(run.task().job());
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
            health.failed(entry.id(), run.task().job(), now);
            avoid(run.task(), entry.id());
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

    private void avoid(TaskKey task, WorkerId worker) {
        failedOn.computeIfAbsent(task, key -> new HashSet<>()).add(worker);
    }

    private WorkerOrders orders(WorkerEntry entry) {
        Set<RunKey> ended = new HashSet<>();
        entry.report().ended().forEach(end -> ended.add(end.run()));
        List<WorkerOrders.Start> starts = new ArrayList<>();
        List<RunKey> stops = new ArrayList<>(entry.stopping());
        for (RunKey run : table.runsOn(entry.life())) {
            boolean seen = entry.observations().containsKey(run) || ended.contains(run);
            if (!seen && !entry.stopping().contains(run)) {
                starts.add(start(run));
            }
        }
        for (RunKey run : entry.observations().keySet()) {
            if (!table.isLive(entry.life(), run) && !entry.ends().containsKey(run)) {
                stops.add(run);
            }
        }
        return new WorkerOrders(
                times.lease().toMillis(),
                acknowledged(entry),
                table.epoch(),
                starts,
                stops,
                paces(entry),
                nextReportMillis());
    }

    private WorkerOrders.Start start(RunKey run) {
        JobRecord job = table.find(run.task().job()).orElseThrow();
        return new WorkerOrders.Start(
                run, job.submission().payload(), job.task(run.task()).checkpoint());
    }

    private long acknowledged(WorkerEntry entry) {
        long acknowledged = 0;
        for (WorkerReport.EndedRun end : entry.report().ended()) {
            if (table.isLive(entry.life(), end.run())) {
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
            if (step(run.task()).filter(JobStep::bestEffort).isPresent()) {
                paces.add(new WorkerOrders.Pace(run, 0));
            }
        }
        return paces;
    }

    private long nextReportMillis() {
        long spread = 1000L * book.entries().size() / REPORTS_PER_SECOND;
        return Math.max(MIN_REPORT_MILLIS, Math.min(MAX_REPORT_MILLIS, spread));
    }

    private void planEnds(List<JobTransition> plan, long now) {
        List<WorkerEntry> all = new ArrayList<>(book.entries());
        all.addAll(book.earlierLives());
        for (WorkerEntry entry : all) {
            entry.ends().values().removeIf(end -> !table.isLive(entry.life(), end.run()));
            for (WorkerReport.EndedRun end : entry.ends().values()) {
                if (plan.size() < MAX_TRANSITIONS) {
                    plan.add(new JobTransition.Ended(end.run(), end.end().meaning(), end.checkpoint()));
                    learn(entry, end, now);
                }
            }
        }
    }

    private void learn(WorkerEntry entry, WorkerReport.EndedRun end, long now) {
        events.ended(end, entry.life());
        JobId job = end.run().task().job();
        switch (end.end()) {
            case COMPLETED -> health.succeeded(entry.id(), job);
            case FAILED -> {
                health.failed(entry.id(), job, now);
                avoid(end.run().task(), entry.id());
            }
            case REFUSED -> {
                health.withdrawn(entry.id());
                entry.refused(now + REFUSAL_NANOS);
            }
            default -> health.withdrawn(entry.id());
        }
    }

    private void planLosses(List<JobTransition> plan, long now) {
        for (WorkerLife life : List.copyOf(table.busyWorkers())) {
            Optional<WorkerEntry> entry = book.find(life);
            if (!lost(life, entry, now)) {
                continue;
            }
            events.workerGone(life, entry.isPresent() ? "lease-ended" : "not-heard-of");
            for (RunKey run : table.runsOn(life)) {
                boolean ending = entry.isPresent() && entry.get().ends().containsKey(run);
                if (!ending && plan.size() < MAX_TRANSITIONS) {
                    plan.add(new JobTransition.Ended(run, RunEnd.INTERRUPTED, lastCheckpoint(entry, run)));
                }
            }
        }
        for (WorkerEntry entry : List.copyOf(book.entries())) {
            if (entry.lost(now) && table.runsOn(entry.life()).isEmpty()) {
                book.forget(entry);
            }
        }
        for (WorkerEntry entry : List.copyOf(book.earlierLives())) {
            if (entry.lost(now) && entry.silent(now, times.inheritedLeaseBoundNanos())) {
                book.forget(entry);
            }
        }
    }

    private boolean lost(WorkerLife life, Optional<WorkerEntry> entry, long now) {
        if (entry.isPresent()) {
            return entry.get().lost(now);
        }
        return book.superseded(life) || now - begunNanos >= times.inheritedLeaseBoundNanos();
    }

    private static String lastCheckpoint(Optional<WorkerEntry> entry, RunKey run) {
        return entry.map(known -> known.observations().get(run))
                .map(RunObservation::checkpoint)
                .orElse("");
    }

    private void planStarts(List<JobTransition> plan, long now, long epochMillis) {
        if (plan.size() >= MAX_TRANSITIONS || table.active().isEmpty()) {
            return;
        }
        TaskPlacer placer = placer(now);
        StartPlan starts = new StartPlan(table, placer, health, failedOn, times, events);
        for (JobRecord job : JobQueue.ordered(table, epochMillis)) {
            starts.add(job, epochMillis);
            if (plan.size() + starts.transitions().size() >= MAX_TRANSITIONS) {
                break;
            }
        }
        plan.addAll(starts.transitions());
    }

    private TaskPlacer placer(long now) {
        TaskPlacer placer = new TaskPlacer(health, disturbance, now);
        for (WorkerEntry entry : book.entries()) {
            health.review(entry.id(), now);
            boolean takesWork = !entry.report().leaving()
                    && !entry.isGone()
                    && !entry.refusing(now)
                    && !entry.silent(now, SILENCE_NANOS);
            if (takesWork) {
                placer.add(room(entry));
            }
        }
        return placer;
    }

    private WorkerRoom room(WorkerEntry entry) {
        WorkerRoom room = new WorkerRoom(entry, residents(entry));
        for (RunKey run : table.runsOn(entry.life())) {
            step(run.task()).ifPresent(room::take);
        }
        return room;
    }

    private void planForgetting(List<JobTransition> plan, long now) {
        for (JobRecord job : table.all()) {
            if (job.state().ended() && !endedNanos.containsKey(job.id())) {
                endedNanos.put(job.id(), now);
                events.jobEnded(job);
                health.forget(job.id());
                disturbance.forget(job.id());
                failedOn.keySet().removeIf(task -> task.job().equals(job.id()));
            }
        }
        for (JobId canceled : table.canceledBeforeArrival()) {
            endedNanos.putIfAbsent(canceled, now);
        }
        endedNanos.entrySet().removeIf(ended -> {
            boolean due = now - ended.getValue() > times.retention().toNanos();
            if (due && plan.size() < MAX_TRANSITIONS) {
                plan.add(new JobTransition.Forgotten(ended.getKey()));
                return true;
            }
            return false;
        });
    }
}
