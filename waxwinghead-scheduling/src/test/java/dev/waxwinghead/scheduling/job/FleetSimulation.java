package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.overload.CapacityOrder;
import dev.waxwinghead.scheduling.overload.OverloadControl;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Plays a {@link JobScheduler} with simulated workers in virtual time.
 *
 * <p>A worker reports 50 ms after an end and otherwise when it was told to, and sends no report while an answer is
 * outstanding. A plan takes effect after the time of a commit. Tasks do not disturb each other.
 */
final class FleetSimulation {
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(6), Duration.ofSeconds(1), Duration.ofSeconds(120), Duration.ofMillis(20));
    private static final long COMMIT_MILLIS = 15;
    private static final long POLL_MILLIS = 50;
    private static final long ANSWER_CHECK_MILLIS = 25;
    private static final long END_REPORT_MILLIS = 50;
    private static final long WORKER_MEMORY = 128_000;
    private static final long CRASH_MILLIS = 10;
    private static final long RESTART_MILLIS = 3000;

    private final JobTable table = JobTable.create();
    private final JobScheduler scheduler;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::number));
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final Map<WorkerIncarnation, Held> held = new HashMap<>();
    private final Map<JobId, Long> firstStarts = new HashMap<>();
    private final Map<JobId, Long> ends = new HashMap<>();
    private final Map<JobId, Long> submissions = new LinkedHashMap<>();
    private final Set<JobId> crashing = new HashSet<>();
    private final Map<JobId, Integer> crashes = new HashMap<>();
    private final Map<JobId, Double> slowness = new HashMap<>();
    private final Map<JobId, Long> coreMillis = new HashMap<>();
    private long nowMillis = 1_000_000;
    private long eventNumber;
    private long logIndex;
    private boolean committing;
    private long reports;

    FleetSimulation(int workerCount, long millicores, SchedulerListener listener) {
        this(workerCount, millicores, listener, OverloadControl::decide);
    }

    FleetSimulation(int workerCount, long millicores, SchedulerListener listener, CapacityOrder order) {
        scheduler = JobScheduler.of(table, TIMES, service -> true, listener, order);
        table.apply(++logIndex, new JobCommand.Acquire(HostId.of("h1")));
        scheduler.takeOver(nanos());
        for (int i = 0; i < workerCount; i++) {
            SimulatedWorker worker = new SimulatedWorker(i, millicores);
            workers.add(worker);
            at(i % 100, worker::report);
        }
        at(0, this::pollPlan);
        at(0, this::answerDue);
    }

    /** Makes a worker run its tasks at a fraction of the usual speed from now on. */
    void setSpeed(int worker, double speed) {
        workers.get(worker).speed = speed;
    }

    /** Makes the tasks of a job crash the workers that start them. */
    void setCrashing(String job) {
        crashing.add(JobId.of(job));
    }

    /** Returns how many workers the tasks of a job have crashed. */
    int crashesOf(String job) {
        return crashes.getOrDefault(JobId.of(job), 0);
    }

    /** Lets a worker crash now, through no fault of its tasks; it is back after some seconds under another id. */
    void crash(int worker) {
        workers.get(worker).crash();
    }

    /** Makes the tasks of a job take a multiple of their estimated time. */
    void setSlowness(String job, double factor) {
        slowness.put(JobId.of(job), factor);
    }

    /** Returns the processor time that a job has used, in core-milliseconds. */
    long coreMillisOf(String job) {
        return coreMillis.getOrDefault(JobId.of(job), 0L);
    }

    /** Returns the time from submission to the first start, empty if the job was not started. */
    Optional<Long> startDelay(String job) {
        JobId id = JobId.of(job);
        return Optional.ofNullable(firstStarts.get(id)).map(start -> start - submissions.get(id));
    }

    /** Submits a job after a delay. The tasks of its steps take their estimated time. */
    void submit(long delayMillis, JobTerms terms, String id, JobStep... steps) {
        at(delayMillis, () -> {
            JobSubmission submission = new JobSubmission(JobId.of(id), "p", List.of(steps), JobSchedule.ONCE);
            submissions.put(submission.id(), nowMillis);
            at(COMMIT_MILLIS, () -> {
                table.apply(++logIndex, new JobCommand.Accept(submission, terms, nowMillis));
                plan();
            });
        });
    }

    void run(Duration duration) {
        long end = nowMillis + duration.toMillis();
        while (!events.isEmpty() && events.peek().millis() <= end) {
            Event event = events.poll();
            nowMillis = event.millis();
            event.action().run();
        }
        nowMillis = end;
    }

    JobTable table() {
        return table;
    }

    long reports() {
        return reports;
    }

    /** Returns the times from submission to the first start of all submitted jobs, sorted; unstarted jobs are last. */
    List<Long> startDelays() {
        return submissions.keySet().stream()
                .map(job -> firstStarts.containsKey(job) ? firstStarts.get(job) - submissions.get(job) : Long.MAX_VALUE)
                .sorted()
                .toList();
    }

    /** Returns the time from submission to completion, empty if the job has not completed. */
    Optional<Long> duration(String job) {
        JobId id = JobId.of(job);
        return Optional.ofNullable(ends.get(id)).map(end -> end - submissions.get(id));
    }

    /** Runs an action after a delay. */
    void at(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventNumber++, action));
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void pollPlan() {
        plan();
        at(POLL_MILLIS, this::pollPlan);
    }

    private void plan() {
        if (committing) {
            return;
        }
        List<JobTransition> plan = scheduler.plan(nanos(), nowMillis);
        if (!plan.isEmpty()) {
            committing = true;
            at(COMMIT_MILLIS, () -> commit(plan));
        }
    }

    private void commit(List<JobTransition> plan) {
        table.apply(++logIndex, new JobCommand.Advance(table.epoch(), plan));
        committing = false;
        for (JobTransition transition : plan) {
            if (transition instanceof JobTransition.Started started) {
                Optional.ofNullable(held.remove(started.worker())).ifPresent(Held::answer);
            } else if (transition instanceof JobTransition.Ended ended) {
                JobId job = ended.run().task().job();
                boolean done = table.find(job)
                        .filter(each -> each.state() == JobState.DONE)
                        .isPresent();
                if (done) {
                    ends.putIfAbsent(job, nowMillis);
                }
            }
        }
        plan();
    }

    private void answerDue() {
        List<Held> due =
                held.values().stream().filter(each -> each.receipt.due(nanos())).toList();
        due.forEach(each -> held.remove(each.receipt.incarnation()).answer());
        at(ANSWER_CHECK_MILLIS, this::answerDue);
    }

    private record Event(long millis, long number, Runnable action) {}

    private final class Held {
        private final SimulatedWorker worker;
        private final ReportReceipt receipt;

        Held(SimulatedWorker worker, ReportReceipt receipt) {
            this.worker = worker;
            this.receipt = receipt;
        }

        void answer() {
            scheduler
                    .answer(receipt)
                    .filter(answer -> worker.incarnation.equals(receipt.incarnation()))
                    .ifPresent(worker::answered);
        }
    }

    private final class SimulatedWorker {
        private final String address;
        private final long millicores;
        private final Map<RunKey, Progress> running = new LinkedHashMap<>();
        private final List<WorkerReport.EndedRun> ended = new ArrayList<>();
        private WorkerIncarnation incarnation;
        private boolean down;
        private double speed = 1;
        private long sequence;
        private long lastEnd;
        private long reportNumber;
        private boolean outstanding;
        private boolean endedMeanwhile;

        SimulatedWorker(int number, long millicores) {
            this.address = "w" + number;
            this.incarnation = JobFixtures.incarnation(address, 1);
            this.millicores = millicores;
        }

        private void crash() {
            if (down) {
                return;
            }
            down = true;
            reportNumber++;
            running.clear();
            ended.clear();
            long life = incarnation.startedEpochMillis() + 1;
            incarnation = JobFixtures.incarnation(address + "-" + life, life);
            at(RESTART_MILLIS, () -> {
                down = false;
                endedMeanwhile = false;
                sequence = 0;
                lastEnd = 0;
                report();
            });
        }

        private void reportIn(long delayMillis) {
            long number = ++reportNumber;
            at(delayMillis, () -> {
                if (number == reportNumber && !outstanding && !down) {
                    report();
                }
            });
        }

        private void report() {
            outstanding = true;
            reports++;
            List<WorkerReport.RunningTask> rows = new ArrayList<>();
            running.forEach((run, progress) -> rows.add(progress.row(run)));
            WorkerReport report = new WorkerReport(
                    incarnation,
                    ++sequence,
                    ServiceName.of("orders"),
                    address,
                    Resources.of(millicores, WORKER_MEMORY, 0),
                    Set.of(),
                    "",
                    false,
                    0,
                    rows,
                    List.copyOf(ended));
            ReportReceipt receipt = scheduler.receive(report, nanos()).orElseThrow();
            if (!ended.isEmpty()) {
                plan();
            }
            if (receipt.due(nanos()) || scheduler.hasInstructions(receipt)) {
                scheduler.answer(receipt).ifPresent(this::answered);
            } else {
                scheduler.hold(receipt);
                held.put(incarnation, new Held(this, receipt));
            }
        }

        private void answered(WorkerInstructions instructions) {
            outstanding = false;
            ended.removeIf(end -> end.number() <= instructions.acknowledged());
            instructions.stops().forEach(run -> end(run, WorkerReport.ReportedEnd.STOPPED));
            for (WorkerInstructions.Start start : instructions.starts()) {
                start(start.run(), start.checkpoint());
            }
            reportIn(endedMeanwhile ? END_REPORT_MILLIS : instructions.nextReportMillis());
            endedMeanwhile = false;
        }

        private void start(RunKey run, String checkpoint) {
            if (running.containsKey(run)) {
                return;
            }
            JobStep step =
                    table.find(run.task().job()).orElseThrow().step(run.task()).step();
            Progress progress = new Progress(
                    step, nowMillis, speedOf(run), checkpoint.isEmpty() ? 0 : Double.parseDouble(checkpoint));
            running.put(run, progress);
            firstStarts.putIfAbsent(run.task().job(), nowMillis);
            if (crashing.contains(run.task().job())) {
                WorkerIncarnation started = incarnation;
                at(CRASH_MILLIS, () -> {
                    if (incarnation.equals(started)) {
                        crashes.merge(run.task().job(), 1, Integer::sum);
                        crash();
                    }
                });
            } else if (!step.lasting()) {
                at(progress.remainingMillis(), () -> end(run, WorkerReport.ReportedEnd.COMPLETED));
            }
        }

        private double speedOf(RunKey run) {
            return speed / slowness.getOrDefault(run.task().job(), 1.0);
        }

        private void end(RunKey run, WorkerReport.ReportedEnd how) {
            Progress progress = running.remove(run);
            if (progress == null) {
                return;
            }
            coreMillis.merge(run.task().job(), progress.coreMillis(), Long::sum);
            ended.add(new WorkerReport.EndedRun(++lastEnd, run, how, progress.checkpoint()));
            if (outstanding) {
                endedMeanwhile = true;
            } else {
                reportIn(END_REPORT_MILLIS);
            }
        }
    }

    private final class Progress {
        private final JobStep step;
        private final long startedMillis;
        private final double speed;
        private final double savedShare;

        Progress(JobStep step, long startedMillis, double speed, double savedShare) {
            this.step = step;
            this.startedMillis = startedMillis;
            this.speed = speed;
            this.savedShare = savedShare;
        }

        long coreMillis() {
            return (nowMillis - startedMillis) * step.need().millicores() / 1000;
        }

        long remainingMillis() {
            return Math.round(step.estimateMillis() * (1 - savedShare) / speed);
        }

        String checkpoint() {
            return step.checkpoints() ? Double.toString(doneShare()) : "";
        }

        private double doneShare() {
            return Math.min(1, savedShare + speed * (nowMillis - startedMillis) / Math.max(1, step.estimateMillis()));
        }

        WorkerReport.RunningTask row(RunKey run) {
            int percent = step.lasting() ? 100 : (int) Math.min(99, 100 * doneShare());
            long gauge = step.serves() ? step.targetMillis() / 2 : step.need().millicores();
            return new WorkerReport.RunningTask(run, "", percent, gauge);
        }
    }
}
