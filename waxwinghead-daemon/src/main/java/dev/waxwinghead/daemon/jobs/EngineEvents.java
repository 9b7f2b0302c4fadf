package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.health.QuarantineControl;
import dev.waxwinghead.scheduling.job.FreeCapacity;
import dev.waxwinghead.scheduling.job.JobRecord;
import dev.waxwinghead.scheduling.job.RunEnd;
import dev.waxwinghead.scheduling.job.RunKey;
import dev.waxwinghead.scheduling.job.SchedulerListener;
import dev.waxwinghead.scheduling.job.TaskKey;
import dev.waxwinghead.scheduling.job.WaitReason;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import dev.waxwinghead.scheduling.job.WorkerReport;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** Writes the decisions of the job scheduler to the log and counts them in metrics. */
final class EngineEvents implements SchedulerListener {
    /** One of this many late reports is logged. Networks that deliver messages twice make late reports common. */
    private static final int LATE_REPORT_SAMPLE = 100;

    /** One of this many reports for unknown services is logged, since their sender may repeat them for long. */
    private static final int REJECTED_REPORT_SAMPLE = 100;

    private final MeterRegistry meters;
    private final Counter starts;
    private final Counter stops;
    private final Counter lateReports;
    private final Counter rejectedReports;
    private final Counter silentWorkers;
    private final Counter unlistedRuns;
    private final Counter crashes;
    private final Counter givenUp;
    private final Counter pauses;

    EngineEvents(MeterRegistry meters) {
        this.meters = meters;
        this.starts = meters.counter("waxwinghead.job.task.starts");
        this.stops = meters.counter("waxwinghead.job.task.stops");
        this.lateReports = meters.counter("waxwinghead.job.reports.late");
        this.rejectedReports = meters.counter("waxwinghead.job.reports.rejected");
        this.silentWorkers = meters.counter("waxwinghead.job.worker.silences");
        this.unlistedRuns = meters.counter("waxwinghead.job.runs.unlisted");
        this.crashes = meters.counter("waxwinghead.job.worker.crashes");
        this.givenUp = meters.counter("waxwinghead.job.given.up");
        this.pauses = meters.counter("waxwinghead.job.task.restarts.paused");
    }

    @Override
    public void workerSeen(WorkerReport report) {
        Event.of("worker-seen")
                .with("worker", report.incarnation().worker())
                .with("life", report.incarnation().startedEpochMillis())
                .with("service", report.service())
                .with("address", report.address())
                .with("running", report.running().size())
                .write();
    }

    @Override
    public void workerExiting(WorkerIncarnation incarnation) {
        Event.of("worker-exiting")
                .with("worker", incarnation.worker())
                .with("life", incarnation.startedEpochMillis())
                .write();
    }

    @Override
    public void workerGone(WorkerIncarnation incarnation, String reason) {
        Event.of("worker-gone")
                .with("worker", incarnation.worker())
                .with("life", incarnation.startedEpochMillis())
                .with("reason", reason)
                .write();
    }

    @Override
    public void workerSilent(WorkerIncarnation incarnation, int runs, boolean reported, long millis) {
        silentWorkers.increment();
        Event.of("worker-silent")
                .with("worker", incarnation.worker())
                .with("life", incarnation.startedEpochMillis())
                .with("runs", runs)
                .with("reported", reported)
                .with("givenUpInMillis", millis)
                .write();
    }

    @Override
    public void workerReturned(WorkerIncarnation incarnation) {
        Event.of("worker-returned")
                .with("worker", incarnation.worker())
                .with("life", incarnation.startedEpochMillis())
                .write();
    }

    @Override
    public void reportIgnored(WorkerReport report) {
        lateReports.increment();
        if (lateReports.count() % LATE_REPORT_SAMPLE != 1) {
            return;
        }
        Event.of("report-passed-over")
                .with("worker", report.incarnation().worker())
                .with("life", report.incarnation().startedEpochMillis())
                .with("sequence", report.sequence())
                .with("total", (long) lateReports.count())
                .write();
    }

    @Override
    public void reportRejected(WorkerReport report) {
        rejectedReports.increment();
        if (rejectedReports.count() % REJECTED_REPORT_SAMPLE != 1) {
            return;
        }
        Event.of("report-rejected")
                .with("worker", report.incarnation().worker())
                .with("life", report.incarnation().startedEpochMillis())
                .with("address", report.address())
                .with("service", report.service())
                .with("reason", "unknown-service")
                .with("total", (long) rejectedReports.count())
                .write();
    }

    @Override
    public void unlisted(RunKey run, WorkerIncarnation worker, boolean sent, boolean stopping) {
        unlistedRuns.increment();
        Event.of("run-unlisted")
                .with("job", run.task().job())
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", worker.worker())
                .with("sent", sent)
                .with("stopping", stopping)
                .write();
    }

    @Override
    public void neverStarted(RunKey run, WorkerIncarnation worker) {
        meters.counter("waxwinghead.job.task.ends", "how", "never_started").increment();
        Event.of("task-end")
                .with("job", run.task().job())
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", worker.worker())
                .with("how", "never_started")
                .write();
    }

    @Override
    public void starting(RunKey run, WorkerIncarnation worker, long epoch) {
        starts.increment();
        Event.of("task-start")
                .with("job", run.task().job())
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", worker.worker())
                .with("epoch", epoch)
                .write();
    }

    @Override
    public void stopping(RunKey run, WorkerIncarnation worker, String reason) {
        stops.increment();
        Event.of("task-stop")
                .with("job", run.task().job())
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", worker.worker())
                .with("reason", reason)
                .write();
    }

    @Override
    public void ended(WorkerReport.EndedRun end, WorkerIncarnation worker) {
        String how = end.end().name().toLowerCase(Locale.ROOT);
        meters.counter("waxwinghead.job.task.ends", "how", how).increment();
        Event.of("task-end")
                .with("job", end.run().task().job())
                .with("task", end.run().task())
                .with("attempt", end.run().attempt())
                .with("worker", worker.worker())
                .with("how", how)
                .write();
    }

    @Override
    public void endedWithWorker(RunKey run, WorkerIncarnation worker, RunEnd end) {
        String how = end.name().toLowerCase(Locale.ROOT);
        meters.counter("waxwinghead.job.task.ends", "how", how).increment();
        Event.of("task-end")
                .with("job", run.task().job())
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", worker.worker())
                .with("how", how)
                .write();
    }

    @Override
    public void workerCrashed(RunKey run, WorkerIncarnation worker, int total) {
        crashes.increment();
        Event.of("worker-crashed")
                .with("job", run.task().job())
                .with("task", run.task())
                .with("attempt", run.attempt())
                .with("worker", worker.worker())
                .with("crashes", total)
                .write();
    }

    @Override
    public void givenUp(TaskKey task, int total) {
        givenUp.increment();
        Event.of("job-given-up")
                .with("job", task.job())
                .with("task", task)
                .with("crashes", total)
                .write();
    }

    @Override
    public void quarantineDecided(WorkerId worker, QuarantineControl.Evidence evidence, long millis) {
        boolean permitted = millis > 0;
        meters.counter("waxwinghead.job.worker.quarantines", "permitted", Boolean.toString(permitted))
                .increment();
        Event.of(permitted ? "worker-quarantined" : "worker-quarantine-refused")
                .with("worker", worker)
                .with("failures", evidence.failures())
                .with("tasks", evidence.tasks())
                .with("jobs", evidence.jobs())
                .with("millis", millis)
                .write();
    }

    @Override
    public void restartPaused(TaskKey task, int shortRuns, long millis) {
        pauses.increment();
        Event.of("task-restart-paused")
                .with("job", task.job())
                .with("task", task)
                .with("shortRuns", shortRuns)
                .with("millis", millis)
                .write();
    }

    @Override
    public void waiting(JobRecord job, int step, WaitReason reason, Optional<FreeCapacity> closest) {
        String name = reason.name().toLowerCase(Locale.ROOT);
        meters.counter("waxwinghead.job.waits", "class", job.terms().jobClass().value(), "reason", name)
                .increment();
        Resources need = job.submission().steps().get(step).need();
        Event event = Event.of("job-waiting")
                .with("job", job.id())
                .with("class", job.terms().jobClass())
                .with("step", step)
                .with("reason", name)
                .with("ageMillis", Math.max(0, System.currentTimeMillis() - job.acceptedEpochMillis()))
                .with("liveRuns", job.liveRuns())
                .with("needMillicores", need.millicores())
                .with("needMemoryBytes", need.memoryBytes())
                .with("needAccelerators", need.accelerators());
        closest.ifPresent(worker -> event.with("closestWorker", worker.worker())
                .with("freeMillicores", worker.free().millicores())
                .with("freeMemoryBytes", worker.free().memoryBytes())
                .with("freeAccelerators", worker.free().accelerators()));
        event.write();
    }

    @Override
    public void workerSpeed(WorkerId worker, boolean slow, double factor) {
        meters.counter("waxwinghead.job.worker.speed.changes", "slow", Boolean.toString(slow))
                .increment();
        Event.of(slow ? "worker-slow" : "worker-sound")
                .with("worker", worker)
                .with("percentOfOthers", Math.round(100 * factor))
                .write();
    }

    @Override
    public void interferenceLearned(String pairs) {
        Event.of("interference-learned").with("pairs", pairs).write();
    }

    @Override
    public void jobEnded(JobRecord job) {
        long millis = Math.max(0, System.currentTimeMillis() - job.acceptedEpochMillis());
        String state = job.state().name().toLowerCase(Locale.ROOT);
        Timer.builder("waxwinghead.job.duration")
                .tag("class", job.terms().jobClass().value())
                .tag("state", state)
                .publishPercentileHistogram()
                .register(meters)
                .record(Duration.ofMillis(millis));
        Event.of("job-end")
                .with("job", job.id())
                .with("class", job.terms().jobClass())
                .with("state", state)
                .with("millis", millis)
                .with("objectiveMillis", job.terms().objectiveMillis(job.submission()))
                .write();
    }
}
