package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Processes workers' reports and answers them with the runs that each worker is to start, stop and throttle. */
final class ReportHandler {
    /**
     * The share of a leaving worker's remaining time that a task may need to finish there; the rest is left as a
     * margin.
     */
    private static final double LEAVING_TIME_SHARE = 0.7;

    /** How long a task runs on a slow worker before it is moved; it may show that the worker is sound again. */
    private static final long MIN_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1100);

    /** The time to stop a task, to start it on another worker and to load its checkpoint. */
    static final double MOVE_MILLIS = 700;

    /** How long the answer to a silent worker waits until its return is committed. */
    private static final long MAX_RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The time until the next report of a worker whose return is being committed. */
    private static final long RETURNING_REPORT_MILLIS = 100;

    /** How many times longer a task must take on a slow worker than elsewhere to be moved. */
    private static final double MIN_MOVE_GAIN = 1.5;

    private final SchedulerState state;

    ReportHandler(SchedulerState state) {
        this.state = state;
    }

    /** Processes a report. Returns empty if it is late, of an earlier incarnation or for an unknown service. */
    Optional<ReportReceipt> receive(WorkerReport report, long now) {
        if (!state.knows(report.service())) {
            state.events().reportRejected(report);
            return Optional.empty();
        }
        boolean known = state.workers().find(report.incarnation()).isPresent();
        Optional<WorkerEntry> registered = state.workers().register(report, now);
        if (registered.isEmpty()) {
            state.events().reportIgnored(report);
            return Optional.empty();
        }
        WorkerEntry entry = registered.get();
        if (!known) {
            state.events().workerSeen(report);
        }
        boolean extendsLease = state.mayExtendLease(entry.incarnation());
        entry.extendLease(
                extendsLease
                        ? now + state.times().leaseBoundNanos()
                        : state.inheritedLeaseEndNanos(entry.incarnation()));
        if (now - state.takenOverNanos() >= state.times().reportTimeout().toNanos()) {
            entry.endInheritedAnswers();
        }
        recordBegunJobs(entry);
        recordHealth(entry, now);
        recordProgress(entry, now);
        List<InterferenceControl.ResidentTask> residents = state.residents(entry);
        state.interference().learn(entry, residents, now);
        requestStops(entry, now);
        recordOverdueRuns(entry, now);
        protectServingTasks(entry, residents, now);
        long answerDueNanos = extendsLease ? timing(entry).answerDueNanos(now) : now + MAX_RETURN_NANOS;
        return Optional.of(new ReportReceipt(report.incarnation(), report.sequence(), answerDueNanos));
    }

    /** Returns the answer to a report, empty if a later report or another incarnation has replaced it. */
    Optional<WorkerInstructions> answer(ReportReceipt receipt) {
        return find(receipt).map(entry -> {
            entry.awaitsAnswer(false);
            return instructions(entry);
        });
    }

    /** Returns whether the worker has to start or stop a run. */
    boolean hasInstructions(ReportReceipt receipt) {
        return find(receipt)
                .filter(entry -> !stops(entry).isEmpty() || !starts(entry).isEmpty())
                .isPresent();
    }

    /** Marks a worker whose answer is held back, so that new tasks are started there without a delay. */
    void hold(ReportReceipt receipt) {
        find(receipt).ifPresent(entry -> entry.awaitsAnswer(true));
    }

    private Optional<WorkerEntry> find(ReportReceipt receipt) {
        return state.workers()
                .find(receipt.incarnation())
                .filter(entry -> entry.report().sequence() == receipt.sequence());
    }

    private void recordBegunJobs(WorkerEntry entry) {
        entry.observations().keySet().forEach(state::recordListed);
        for (WorkerReport.EndedRun end : entry.ends().values()) {
            if (end.end() != WorkerReport.ReportedEnd.REFUSED) {
                state.recordListed(end.run());
            }
        }
    }

    /** Records what the runs on a worker that is not proven show about it. */
    private void recordHealth(WorkerEntry entry, long now) {
        WorkerId worker = entry.id();
        if (!state.health().restricted(worker)) {
            return;
        }
        entry.observations()
                .forEach((run, observed) -> state.step(run.task()).ifPresent(step -> {
                    TaskKey task = run.task();
                    if (step.lasting() && observed.percent() >= 100) {
                        state.health().succeeded(worker, task.job(), task);
                    } else if (entry.hasListed(run, now - WorkerHealth.TRIAL_NANOS)
                            && StallDetector.progresses(step, observed, now)) {
                        state.health().runsWell(worker, task);
                    }
                }));
    }

    private void recordProgress(WorkerEntry entry, long now) {
        entry.observations()
                .forEach((run, observed) -> state.step(run.task())
                        .ifPresent(step -> state.slowWorkers().measure(entry, run, step, observed, now)));
    }

    private void requestStops(WorkerEntry entry, long now) {
        entry.retainRuns(state.table().runsOn(entry.incarnation()));
        if (state.drained(entry)) {
            withdrawStarts(entry);
        }
        for (RunKey run : state.table().runsOn(entry.incarnation())) {
            if (!entry.stopping().contains(run)) {
                stopReason(entry, run, now).ifPresent(reason -> state.requestStop(entry, run, reason));
            }
        }
    }

    /**
     * Withdraws the starts that the worker has not received yet. The worker is told to stop these runs, so that it
     * refuses a start that still arrives.
     */
    private void withdrawStarts(WorkerEntry entry) {
        for (RunKey run : state.table().runsOn(entry.incarnation())) {
            boolean listed =
                    entry.observations().containsKey(run) || entry.ends().containsKey(run);
            if (!listed && !entry.stopping().contains(run)) {
                entry.withdraw(run);
                state.requestStop(entry, run, DrainMoves.STOP_REASON);
            }
        }
    }

    private void recordOverdueRuns(WorkerEntry entry, long now) {
        for (RunKey run : entry.newlyOverdue(state.table().runsOn(entry.incarnation()), now)) {
            boolean sent = entry.wasStartSent(run);
            boolean stopping = entry.stopping().contains(run);
            state.events().unlisted(run, entry.incarnation(), sent, stopping);
        }
    }

    private Optional<String> stopReason(WorkerEntry entry, RunKey run, long now) {
        Optional<JobRecord> job = state.table().find(run.task().job());
        if (job.isEmpty() || job.get().state().ended()) {
            return Optional.of("job-ended");
        }
        if (job.get().step(run.task()).finished(job.get().task(run.task()))) {
            return Optional.of("completed-elsewhere");
        }
        RunObservation observed = entry.observations().get(run);
        JobStep step = job.get().step(run.task()).step();
        if (observed == null) {
            return Optional.empty();
        }
        if (entry.report().leaving() && mustLeave(entry, step, observed)) {
            return Optional.of("worker-leaving");
        }
        if (StallDetector.stalled(step, observed, now)) {
            state.health().failed(entry.id(), run.task().job(), run.task(), now);
            state.avoid(run.task(), entry.id());
            return Optional.of("no-progress");
        }
        if (entry.hasListed(run, now - MIN_TRIAL_NANOS)
                && state.slowWorkers().slow(entry.id())
                && endsSoonerElsewhere(entry, step, observed)) {
            state.avoid(run.task(), entry.id());
            return Optional.of("slow-worker");
        }
        return Optional.empty();
    }

    /** Returns whether a task on a slow worker would end clearly sooner on another one, from its checkpoint if any. */
    private boolean endsSoonerElsewhere(WorkerEntry entry, JobStep step, RunObservation observed) {
        if (step.lasting() || step.gang()) {
            return false;
        }
        double leftShare = (100 - observed.percent()) / 100.0;
        double hereMillis =
                step.estimateMillis() * leftShare / state.slowWorkers().factor(entry.id());
        double elsewhereMillis = step.estimateMillis() * (step.checkpoints() ? leftShare : 1) + MOVE_MILLIS;
        return hereMillis > MIN_MOVE_GAIN * elsewhereMillis;
    }

    private static boolean mustLeave(WorkerEntry entry, JobStep step, RunObservation observed) {
        if (step.lasting()) {
            return true;
        }
        double remainingMillis = step.estimateMillis() * (100 - observed.percent()) / 100.0;
        return step.checkpoints()
                && remainingMillis > LEAVING_TIME_SHARE * entry.report().remainingMillis();
    }

    private void protectServingTasks(WorkerEntry entry, List<InterferenceControl.ResidentTask> residents, long now) {
        for (InterferenceControl.ResidentTask resident : residents) {
            if (resident.step().serves()) {
                resident.observed().recordOverTarget(resident.ready() && resident.ratio() >= 1, now);
            }
        }
        if (InterferenceControl.overTargetTooLong(residents, now)) {
            residents.stream()
                    .filter(resident -> resident.step().bestEffort())
                    .forEach(resident -> state.requestStop(entry, resident.run(), "beside-overdue-serving-task"));
        }
        state.interference().chooseEviction(entry, residents, now).ifPresent(resident -> {
            state.avoid(resident.run().task(), entry.id());
            state.requestStop(entry, resident.run(), "disturbs-serving-tasks");
        });
    }

    private WorkerInstructions instructions(WorkerEntry entry) {
        List<WorkerInstructions.Start> starts = starts(entry);
        starts.forEach(start -> entry.startSent(start.run()));
        boolean mayExtendLease = state.mayExtendLease(entry.incarnation());
        if (mayExtendLease) {
            entry.extendLease(entry.reportedNanos() + state.times().leaseBoundNanos());
        }
        return new WorkerInstructions(
                mayExtendLease ? state.times().lease().toMillis() : 0,
                acknowledged(entry),
                state.table().epoch(),
                starts,
                stops(entry),
                throttles(entry),
                mayExtendLease ? timing(entry).nextReportMillis() : RETURNING_REPORT_MILLIS);
    }

    private List<WorkerInstructions.Start> starts(WorkerEntry entry) {
        Set<RunKey> ended = new HashSet<>();
        entry.report().ended().forEach(end -> ended.add(end.run()));
        List<WorkerInstructions.Start> starts = new ArrayList<>();
        if (state.drained(entry) || !state.mayExtendLease(entry.incarnation())) {
            return starts;
        }
        for (RunKey run : state.table().runsOn(entry.incarnation())) {
            boolean reported = entry.observations().containsKey(run) || ended.contains(run);
            if (!reported && !entry.stopping().contains(run) && !state.ending(run)) {
                starts.add(start(run));
            }
        }
        return starts;
    }

    private WorkerInstructions.Start start(RunKey run) {
        JobRecord job = state.table().find(run.task().job()).orElseThrow();
        String checkpoint = job.step(run.task()).startCheckpoint(job.task(run.task()));
        return new WorkerInstructions.Start(run, job.submission().payload(), checkpoint);
    }

    private List<RunKey> stops(WorkerEntry entry) {
        List<RunKey> stops = new ArrayList<>(entry.stopping());
        for (RunKey run : entry.observations().keySet()) {
            if (!state.table().isLive(entry.incarnation(), run) && !entry.ends().containsKey(run)) {
                stops.add(run);
            }
        }
        return stops;
    }

    private long acknowledged(WorkerEntry entry) {
        long acknowledged = 0;
        for (WorkerReport.EndedRun end : entry.report().ended()) {
            if (state.table().isLive(entry.incarnation(), end.run())) {
                return acknowledged;
            }
            acknowledged = end.number();
        }
        return acknowledged;
    }

    /** Pauses best-effort tasks that are being stopped, so that they cause no interference until they have stopped. */
    private List<WorkerInstructions.Throttle> throttles(WorkerEntry entry) {
        List<WorkerInstructions.Throttle> throttles = new ArrayList<>();
        for (RunKey run : entry.stopping()) {
            if (state.step(run.task()).filter(JobStep::bestEffort).isPresent()) {
                throttles.add(new WorkerInstructions.Throttle(run, 0));
            }
        }
        return throttles;
    }

    private ReportTiming timing(WorkerEntry entry) {
        boolean hasRoom = entry.hasRoom() && !entry.report().leaving() && !entry.exitAnnounced();
        return ReportTiming.of(state.workers().entries().size(), hasRoom, runsFiniteTasks(entry));
    }

    private boolean runsFiniteTasks(WorkerEntry entry) {
        return entry.observations().keySet().stream()
                .anyMatch(run ->
                        state.step(run.task()).filter(step -> !step.lasting()).isPresent());
    }
}
