package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.QuarantineControl;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Holds the state shared by the parts of a scheduler: the table, the reported workers, and the learned models. */
final class SchedulerState {
    /** The duration of the first quarantine of a worker on which jobs fail that succeed elsewhere. */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** The share of a service's workers above which failures are not attributed to single workers. */
    private static final double MAX_QUARANTINED_SHARE = 0.34;

    private final JobTable table;
    private final SchedulerTimes times;
    private final Predicate<ServiceName> declared;
    private final SchedulerListener events;
    private final WorkerHealth<JobId, TaskKey> health;
    private final InterferenceControl interference = new InterferenceControl();
    private final Map<TaskKey, Set<WorkerId>> avoidedWorkers = new HashMap<>();
    private final WaitLog waits;
    private final SlowWorkerDetector slowWorkers;
    private final RestartPauses restartPauses;
    private final StarvedJobs starvedJobs = new StarvedJobs();
    private final Set<RunKey> inheritedRuns = new HashSet<>();
    /** The jobs that have begun by the reports, and may not have for the table. */
    private final Set<JobId> begunJobs = new LinkedHashSet<>();

    private final Map<RunKey, WorkerIncarnation> startsWithoutEnd = new HashMap<>();
    /** The runs that end with the latest plan, which may not be committed yet. */
    private final Set<RunKey> endingRuns = new HashSet<>();
    /** The workers that are recorded as silent with the latest plan, which may not be committed yet. */
    private final Set<WorkerIncarnation> fallingSilent = new HashSet<>();

    private final Map<WorkerIncarnation, ObservedSilence> observedSilences = new HashMap<>();

    private long takenOverNanos;
    private WorkerRegistry workers = new WorkerRegistry();

    SchedulerState(JobTable table, SchedulerTimes times, Predicate<ServiceName> declared, SchedulerListener events) {
        this.table = table;
        this.times = times;
        this.declared = declared;
        this.events = events;
        this.health = WorkerHealth.create(QUARANTINE_NANOS, new Quarantines());
        this.waits = new WaitLog(events);
        this.slowWorkers = new SlowWorkerDetector(events);
        this.restartPauses = new RestartPauses(events);
    }

    JobTable table() {
        return table;
    }

    SchedulerTimes times() {
        return times;
    }

    SchedulerListener events() {
        return events;
    }

    SlowWorkerDetector slowWorkers() {
        return slowWorkers;
    }

    RestartPauses restartPauses() {
        return restartPauses;
    }

    StarvedJobs starvedJobs() {
        return starvedJobs;
    }

    WaitLog waits() {
        return waits;
    }

    WorkerHealth<JobId, TaskKey> health() {
        return health;
    }

    InterferenceControl interference() {
        return interference;
    }

    WorkerRegistry workers() {
        return workers;
    }

    /** Discards the reported state of workers, but keeps what was learned about images and failing workers. */
    void takeOver(long now) {
        takenOverNanos = now;
        observeSilences(now);
        health.resetStarted();
        workers = new WorkerRegistry();
        endingRuns.clear();
        fallingSilent.clear();
        inheritedRuns.clear();
        begunJobs.clear();
        startsWithoutEnd.clear();
        starvedJobs.clear();
        for (WorkerIncarnation worker : table.busyWorkers()) {
            inheritedRuns.addAll(table.runsOn(worker));
        }
    }

    long takenOverNanos() {
        return takenOverNanos;
    }

    /**
     * Records when this host has learned which workers are silent. Their leases were not extended afterwards, whichever
     * host was the scheduler, so they end by this host's clock.
     */
    void observeSilences(long now) {
        Map<WorkerIncarnation, Long> silences = table.silences();
        if (silences.isEmpty() && observedSilences.isEmpty()) {
            return;
        }
        observedSilences.keySet().retainAll(silences.keySet());
        silences.forEach((worker, number) -> {
            ObservedSilence known = observedSilences.get(worker);
            if (known == null || known.number() != number) {
                observedSilences.put(worker, new ObservedSilence(number, now));
            }
        });
    }

    /** Returns whether a worker's lease may be extended. A silent worker's may be once its return is committed. */
    boolean mayExtendLease(WorkerIncarnation worker) {
        return !table.silences().containsKey(worker) && !fallingSilent.contains(worker);
    }

    /** Returns when the leases that earlier schedulers may have granted to a worker have certainly expired. */
    long inheritedLeaseEndNanos(WorkerIncarnation worker) {
        long endNanos = takenOverNanos + times.inheritedLeaseBoundNanos();
        ObservedSilence observed = observedSilences.get(worker);
        Long current = table.silences().get(worker);
        if (observed == null || current == null || observed.number() != current) {
            return endNanos;
        }
        return Math.min(endNanos, observed.sinceNanos() + times.leaseBoundNanos());
    }

    /** Returns whether a run was started by an earlier scheduler. */
    boolean inherited(RunKey run) {
        return inheritedRuns.contains(run);
    }

    /** Counts a planned start against its worker, as long as the worker is unproven. */
    void recordStart(RunKey run, WorkerIncarnation worker) {
        startsWithoutEnd.put(run, worker);
        health.started(worker.worker(), run.task());
    }

    /** Records that the planned end of a run is counted for its worker. */
    void recordEnd(RunKey run) {
        startsWithoutEnd.remove(run);
    }

    /**
     * Gives back what was counted for starts that had no effect on the table, such as those of a job that was canceled
     * before their commit, and for runs that ended with their gang.
     */
    void releaseEndedStarts() {
        startsWithoutEnd.entrySet().removeIf(start -> {
            boolean live = table.isLive(start.getValue(), start.getKey());
            if (!live) {
                health.endedInconclusively(
                        start.getValue().worker(), start.getKey().task());
            }
            return !live;
        });
    }

    /** Records that a worker has listed a run. */
    void recordListed(RunKey run) {
        JobId job = run.task().job();
        if (table.find(job).filter(each -> !each.begun()).isPresent()) {
            begunJobs.add(job);
        }
    }

    /** Returns the jobs that have begun by the reports, but not for the table. */
    Set<JobId> begunJobs() {
        begunJobs.removeIf(job -> table.find(job).filter(each -> !each.begun()).isEmpty());
        return begunJobs;
    }

    /** Records a plan that is about to be committed. */
    void recordPlan(List<JobTransition> plan) {
        endingRuns.clear();
        fallingSilent.clear();
        for (JobTransition transition : plan) {
            if (transition instanceof JobTransition.Ended ended) {
                endingRuns.add(ended.run());
            } else if (transition instanceof JobTransition.Silent silent) {
                fallingSilent.add(silent.worker());
            }
        }
    }

    /** Returns whether a run ends with the latest plan. It must not be started, since its task may run elsewhere. */
    boolean ending(RunKey run) {
        return endingRuns.contains(run);
    }

    /** Returns whether a run that ends may be followed by another run of its task. */
    boolean mayRunAgain(TaskKey task) {
        return table.find(task.job())
                .filter(job -> !job.state().ended() && !job.step(task).finished(job.task(task)))
                .isPresent();
    }

    /** Returns whether a service is declared, or was when a job was accepted that the table still holds. */
    boolean knows(ServiceName service) {
        return declared.test(service)
                || table.all().stream().anyMatch(job -> job.terms().service().equals(service));
    }

    /** Returns the step of a task, empty if the job is no longer known. */
    Optional<JobStep> step(TaskKey task) {
        return table.find(task.job())
                .filter(job -> job.contains(task))
                .map(job -> job.step(task).step());
    }

    /** Returns whether a worker has crashed under a task, see {@link TaskRecord#suspect}. */
    boolean suspect(TaskKey task) {
        return table.find(task.job())
                .filter(job -> job.contains(task) && job.task(task).suspect())
                .isPresent();
    }

    /** Returns the tasks listed by a worker's latest report, except those of unknown jobs. */
    List<InterferenceControl.ResidentTask> residents(WorkerEntry entry) {
        List<InterferenceControl.ResidentTask> residents =
                new ArrayList<>(entry.observations().size());
        entry.observations()
                .forEach((run, observed) -> step(run.task())
                        .ifPresent(step -> residents.add(new InterferenceControl.ResidentTask(run, step, observed))));
        return residents;
    }

    /** Returns whether a worker is in a drained data centre by its latest report. */
    boolean drained(WorkerEntry entry) {
        return !table.drainedDataCentres().isEmpty()
                && entry.report()
                        .dataCentre()
                        .filter(table.drainedDataCentres()::contains)
                        .isPresent();
    }

    /** Marks a run to be stopped by its worker with the next answers. */
    void requestStop(WorkerEntry entry, RunKey run, String reason) {
        if (entry.stopping().add(run)) {
            events.stopping(run, entry.incarnation(), reason);
        }
    }

    /** Marks a worker as the last choice for a task. */
    void avoid(TaskKey task, WorkerId worker) {
        avoidedWorkers.computeIfAbsent(task, key -> new HashSet<>()).add(worker);
    }

    /** Returns the workers that are the last choice for a task. */
    Set<WorkerId> avoided(TaskKey task) {
        return avoidedWorkers.getOrDefault(task, Set.of());
    }

    /** A silence by its number, see {@link JobTable#silences}, and when this host has learned of it. */
    private record ObservedSilence(long number, long sinceNanos) {}

    /** Bounds the share of a service's workers that are quarantined at a time, and reports quarantines. */
    private final class Quarantines implements QuarantineControl {
        @Override
        public boolean permits(WorkerId worker) {
            Optional<ServiceName> service =
                    workers.find(worker).map(entry -> entry.report().service());
            int total = 0;
            int quarantined = 0;
            for (WorkerEntry entry : workers.entries()) {
                if (service.filter(entry.report().service()::equals).isPresent()) {
                    total++;
                    quarantined += health.quarantined(entry.id()) ? 1 : 0;
                }
            }
            return quarantined + 1 <= Math.max(1, MAX_QUARANTINED_SHARE * total);
        }

        @Override
        public void decided(WorkerId worker, Evidence evidence, long millis) {
            events.quarantineDecided(worker, evidence, millis);
        }
    }

    /** Discards what was learned about a job that has ended. */
    void forget(JobId job) {
        health.forget(job);
        interference.forget(job);
        waits.forget(job);
        starvedJobs.remove(job);
        slowWorkers.forget(job);
        restartPauses.forget(job);
        avoidedWorkers.keySet().removeIf(task -> task.job().equals(job));
    }
}
