package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.job.WorkerReport.ReportedEnd;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A worker of a {@link ModelFleet}. It sends one report at a time, drops answers that are late or of an earlier
 * scheduler, and kills its runs when its lease expires.
 */
final class ModelWorker {
    static final long MILLICORES = 4000;
    static final long MEMORY = 100_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 1000;
    private static final long END_REPORT_MILLIS = 50;
    private static final long UNANSWERED_RETRY_MILLIS = 100;
    private static final long MAX_STOP_MILLIS = 800;
    private static final long STARTUP_MILLIS = 400;

    private final ModelFleet fleet;
    private final String address;
    private final DataCentreId dataCentre;
    private final Set<String> labels;
    private final double clockRate;
    private final Map<RunKey, ModelRun> running = new LinkedHashMap<>();
    private final List<ModelEnd> ends = new ArrayList<>();
    private final Map<TaskKey, Integer> refusedUpTo = new HashMap<>();
    private WorkerIncarnation incarnation;
    private boolean up;
    private boolean leaving;
    private long leavesAtMillis;
    private long fence;
    private long leaseEndMillis;
    private long sequence;
    private long lastEnd;
    private long call;
    private boolean outstanding;
    private boolean endedMeanwhile;
    private long scheduledReport;
    private boolean unreachable;
    private boolean unanswered;

    ModelWorker(ModelFleet fleet, int number) {
        this.fleet = fleet;
        this.address = "w" + number;
        this.dataCentre = fleet.dataCentre(number);
        this.labels = fleet.labels(number);
        this.clockRate = 1 + 0.02 * fleet.random().nextDouble();
        this.incarnation = JobFixtures.incarnation(address, fleet.nowMillis());
    }

    WorkerIncarnation incarnation() {
        return incarnation;
    }

    boolean up() {
        return up;
    }

    DataCentreId dataCentre() {
        return dataCentre;
    }

    boolean leaving() {
        return leaving;
    }

    Map<RunKey, ModelRun> running() {
        return running;
    }

    List<ModelEnd> ends() {
        return ends;
    }

    boolean lists(RunKey run) {
        return running.containsKey(run) || ends.stream().anyMatch(end -> end.run.equals(run));
    }

    long freeMillicores() {
        return MILLICORES
                - running.values().stream()
                        .filter(run -> !run.step.bestEffort())
                        .mapToLong(run -> run.step.need().millicores())
                        .sum();
    }

    long freeMemory() {
        return MEMORY
                - running.values().stream()
                        .mapToLong(run -> run.step.need().memoryBytes())
                        .sum();
    }

    /** Returns the number of further tasks of a step, one of whose tasks is given, for which there is capacity. */
    long placesFor(TaskKey task, JobStep step) {
        if (!step.requiredLabel().isEmpty() && !labels.contains(step.requiredLabel())) {
            return 0;
        }
        long places = Math.min(
                freeMillicores() / step.need().millicores(),
                freeMemory() / step.need().memoryBytes());
        if (step.maxPerWorker() == 0) {
            return places;
        }
        long sameStep = running.keySet().stream()
                .map(RunKey::task)
                .filter(other -> other.job().equals(task.job())
                        && other.occurrence() == task.occurrence()
                        && other.step() == task.step())
                .count();
        return Math.min(places, step.maxPerWorker() - sameStep);
    }

    void start(boolean underTheSameId) {
        long born = Math.max(fleet.nowMillis(), incarnation.startedEpochMillis() + 1);
        String id = underTheSameId ? incarnation.worker().value() : address + "-" + born;
        incarnation = JobFixtures.incarnation(id, born);
        up = true;
        leaving = false;
        fence = 0;
        leaseEndMillis = fleet.nowMillis();
        sequence = 0;
        lastEnd = 0;
        outstanding = false;
        endedMeanwhile = false;
        fleet.trace("%s is up", incarnation);
        reportIn(0);
    }

    void terminate(String how) {
        fleet.trace("%s terminates: %s, runs %s", incarnation, how, running.keySet());
        up = false;
        call++;
        List<RunKey> runs = List.copyOf(running.keySet());
        running.clear();
        ends.clear();
        refusedUpTo.clear();
        fleet.terminated(incarnation, runs);
    }

    /** Announces that the worker leaves, and lets it leave after a time, with or without an acknowledgement. */
    void drain(long millis) {
        leaving = true;
        leavesAtMillis = fleet.nowMillis() + millis;
        fleet.trace("%s drains for %s ms", incarnation, millis);
        reportIn(0);
    }

    void unreachable(boolean cut) {
        unreachable = cut;
    }

    void unanswered(boolean cut) {
        unanswered = cut;
    }

    /** Runs an action after a delay, unless the worker's process ends before. */
    private void at(long delayMillis, Runnable action) {
        WorkerIncarnation current = incarnation;
        fleet.at(delayMillis, () -> {
            if (up && current.equals(incarnation)) {
                action.run();
            }
        });
    }

    private void reportIn(long delayMillis) {
        long number = ++scheduledReport;
        at(delayMillis, () -> {
            if (number == scheduledReport && !outstanding) {
                report();
            }
        });
    }

    private void report() {
        long number = ++call;
        long sentMillis = fleet.nowMillis();
        outstanding = true;
        at(ANSWER_TIMEOUT_MILLIS, () -> {
            if (outstanding && call == number) {
                concludeCall(END_REPORT_MILLIS);
            }
        });
        List<WorkerReport.RunningTask> rows = new ArrayList<>();
        running.values().forEach(run -> rows.add(run.row()));
        List<WorkerReport.EndedRun> ended = ends.stream().map(ModelEnd::row).toList();
        WorkerReport report = new WorkerReport(
                incarnation,
                ++sequence,
                ServiceName.of("orders"),
                address,
                Resources.of(MILLICORES, MEMORY, 0),
                labels,
                "",
                leaving,
                leaving ? Math.max(0, leavesAtMillis - sentMillis) : 0,
                rows,
                ended,
                Optional.of(dataCentre),
                0);
        if (unreachable) {
            return;
        }
        WorkerIncarnation sender = incarnation;
        fleet.deliver(report, answer -> {
            if (up && sender.equals(incarnation) && outstanding && call == number && !unanswered) {
                answered(answer, sentMillis);
            }
        });
    }

    private void concludeCall(long nextReportMillis) {
        outstanding = false;
        reportIn(endedMeanwhile ? END_REPORT_MILLIS : nextReportMillis);
        endedMeanwhile = false;
    }

    private void answered(Optional<WorkerInstructions> answer, long sentMillis) {
        if (answer.isEmpty() || answer.get().fence() < fence) {
            concludeCall(UNANSWERED_RETRY_MILLIS);
            return;
        }
        WorkerInstructions instructions = answer.get();
        fence = instructions.fence();
        extendLease(sentMillis + Math.round(clockRate * instructions.leaseMillis()));
        acknowledge(instructions.acknowledged());
        instructions.stops().forEach(this::stop);
        instructions.starts().forEach(start -> start(start.run(), start.checkpoint()));
        concludeCall(instructions.nextReportMillis());
    }

    private void extendLease(long untilMillis) {
        if (untilMillis <= leaseEndMillis) {
            return;
        }
        leaseEndMillis = untilMillis;
        at(untilMillis - fleet.nowMillis(), () -> {
            if (fleet.nowMillis() >= leaseEndMillis) {
                ends.forEach(end -> end.lapsed = true);
                List.copyOf(running.keySet()).forEach(run -> end(run, ReportedEnd.LEASE_EXPIRED));
            }
        });
    }

    private void acknowledge(long number) {
        for (ModelEnd end : List.copyOf(ends)) {
            if (end.number <= number) {
                ends.remove(end);
                if (end.how == ReportedEnd.COMPLETED && !end.lapsed) {
                    fleet.completionAcknowledged(end.run);
                }
            }
        }
    }

    private void stop(RunKey run) {
        fleet.trace("%s is told to stop %s", incarnation, run);
        refusedUpTo.merge(run.task(), run.attempt(), Math::max);
        ModelRun found = running.get(run);
        if (found != null && !found.stopping) {
            found.stopping = true;
            at(fleet.random().nextInt((int) MAX_STOP_MILLIS), () -> end(run, ReportedEnd.STOPPED));
        }
    }

    private void start(RunKey run, String checkpoint) {
        if (lists(run)) {
            return;
        }
        fleet.trace("%s is told to start %s", incarnation, run);
        if (run.attempt() <= refusedUpTo.getOrDefault(run.task(), 0)) {
            addEnd(run, ReportedEnd.REFUSED, "");
            return;
        }
        JobStep step = fleet.step(run.task());
        ModelRun started = new ModelRun(run, step, checkpoint.isEmpty() ? 0 : Double.parseDouble(checkpoint));
        fleet.starting(this, started);
        running.put(run, started);
        if (step.gang()) {
            fleet.memberStarted(this, started);
        } else {
            workAlone(started);
        }
    }

    private void workAlone(ModelRun run) {
        run.work();
        if (fleet.fails(run.step)) {
            at(1 + fleet.random().nextInt(1500), () -> end(run.key, ReportedEnd.FAILED));
        } else if (run.step.lasting()) {
            fleet.completesAfter(run.step).ifPresent(millis -> at(millis, () -> end(run.key, ReportedEnd.COMPLETED)));
        } else {
            at(run.remainingMillis(), () -> end(run.key, ReportedEnd.COMPLETED));
        }
    }

    void end(RunKey run, ReportedEnd how) {
        ModelRun ended = running.remove(run);
        if (ended != null) {
            addEnd(run, how, ended.checkpoint());
            fleet.ended(run, how);
        }
    }

    private void addEnd(RunKey run, ReportedEnd how, String checkpoint) {
        fleet.trace("%s ends %s: %s", incarnation, run, how);
        ends.add(new ModelEnd(++lastEnd, run, how, checkpoint, fleet.nowMillis()));
        refusedUpTo.merge(run.task(), run.attempt(), Math::max);
        if (outstanding) {
            endedMeanwhile = true;
        } else {
            reportIn(END_REPORT_MILLIS);
        }
    }

    /** An end that is listed until it is acknowledged. */
    static final class ModelEnd {
        private final long number;
        private final RunKey run;
        private final ReportedEnd how;
        private final String checkpoint;
        private final long endedMillis;
        private boolean lapsed;

        ModelEnd(long number, RunKey run, ReportedEnd how, String checkpoint, long endedMillis) {
            this.number = number;
            this.run = run;
            this.how = how;
            this.checkpoint = checkpoint;
            this.endedMillis = endedMillis;
        }

        RunKey run() {
            return run;
        }

        long endedMillis() {
            return endedMillis;
        }

        private WorkerReport.EndedRun row() {
            return new WorkerReport.EndedRun(number, run, how, checkpoint);
        }
    }

    /** A run that holds its room on the worker. */
    final class ModelRun {
        private final RunKey key;
        private final JobStep step;
        private final double savedShare;
        private boolean atWork;
        private boolean stopping;
        private long workingSinceMillis;

        ModelRun(RunKey key, JobStep step, double savedShare) {
            this.key = key;
            this.step = step;
            this.savedShare = savedShare;
        }

        RunKey key() {
            return key;
        }

        JobStep step() {
            return step;
        }

        boolean stopping() {
            return stopping;
        }

        /** Lets the run make progress. */
        void work() {
            workingSinceMillis = fleet.nowMillis();
            atWork = true;
        }

        long remainingMillis() {
            return Math.round(step.estimateMillis() * (1 - savedShare));
        }

        private double doneShare() {
            long worked = atWork ? fleet.nowMillis() - workingSinceMillis : 0;
            return Math.min(1, savedShare + (double) worked / Math.max(1, step.estimateMillis()));
        }

        private String checkpoint() {
            return step.checkpoints() && !step.lasting() ? Double.toString(doneShare()) : "";
        }

        private WorkerReport.RunningTask row() {
            boolean ready = step.lasting() && fleet.nowMillis() - workingSinceMillis >= STARTUP_MILLIS;
            int percent = step.lasting() ? (ready ? 100 : 0) : (int) Math.min(99, 100 * doneShare());
            long gauge = step.serves() ? step.targetMillis() / 4 : step.need().millicores();
            return new WorkerReport.RunningTask(key, checkpoint(), percent, gauge);
        }
    }
}
