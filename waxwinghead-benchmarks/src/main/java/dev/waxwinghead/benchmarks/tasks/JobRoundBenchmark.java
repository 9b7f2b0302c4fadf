package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobSchedule;
import dev.waxwinghead.scheduling.job.JobScheduler;
import dev.waxwinghead.scheduling.job.JobStep;
import dev.waxwinghead.scheduling.job.JobSubmission;
import dev.waxwinghead.scheduling.job.JobTable;
import dev.waxwinghead.scheduling.job.JobTerms;
import dev.waxwinghead.scheduling.job.JobTransition;
import dev.waxwinghead.scheduling.job.RunKey;
import dev.waxwinghead.scheduling.job.SchedulerListener;
import dev.waxwinghead.scheduling.job.SchedulerTimes;
import dev.waxwinghead.scheduling.job.TaskKey;
import dev.waxwinghead.scheduling.job.WorkerIncarnation;
import dev.waxwinghead.scheduling.job.WorkerReport;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Measures the processor time of one round of {@link JobScheduler#plan} and of one worker's report.
 *
 * <p>Each worker has 32 cores and runs a serving task near its latency target, a best-effort task and two short tasks,
 * so that half of the waiting jobs wait for serving tasks and the other half for capacity. A tenth of the workers
 * report before each round. Idle rounds start nothing; in busy rounds each report ends a short task, and another one is
 * started.
 *
 * <p>Arguments, all optional: the number of different processor requests of the waiting jobs of each kind (default 8),
 * and the only number of workers to measure (default 48, 350 and 3,100).
 */
public final class JobRoundBenchmark {
    private static final int[] WORKERS = {48, 350, 3_100};
    private static final int[] QUEUED_JOBS = {1, 50, 1_000};
    private static final int[] TASKS_PER_JOB = {10, 20, 20};
    private static final int STARTED_TASKS_PER_NEW_JOB = 20;
    private static final int DEFAULT_SHAPES = 8;
    private static final int SERVING_IMAGES = 4;
    private static final int REPORTING_SHARE = 10;
    private static final int MEASURED_ROUNDS = 40;
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final int MIN_WARM_UP_ROUNDS = 20;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final long MEMORY_BYTES = 1_000;
    private static final long SERVING_MILLICORES = 13_000;
    private static final long BATCH_MILLICORES = 7_000;
    private static final long TARGET_MILLIS = 100;
    /** Latencies above and below the bound from which a worker admits no best-effort task, 0.85 of the target. */
    private static final long ABOVE_BOUND_MILLIS = 86;

    private static final long BELOW_BOUND_MILLIS = 80;

    private static final ServiceName SERVICE = ServiceName.of("orders");
    private static final SchedulerTimes TIMES = new SchedulerTimes(
            Duration.ofSeconds(6), Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofMillis(20));
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final JobTable table = JobTable.create();
    private final JobScheduler scheduler = JobScheduler.of(table, TIMES, service -> true, ignoringListener());
    private final Map<WorkerIncarnation, Worker> workers = new LinkedHashMap<>();
    private final List<Worker> reporting = new ArrayList<>();
    private final int shapes;
    private long index;
    private long nowNanos = TimeUnit.SECONDS.toNanos(1);
    private int submitted;
    private int startedTasks;
    private int nextReporting;

    private JobRoundBenchmark(int workerCount, int queuedJobs, int tasksPerJob, int shapes) {
        this.shapes = shapes;
        table.apply(++index, new JobCommand.Acquire(HostId.of("h1")));
        scheduler.takeOver(nowNanos);
        List<JobTransition> starts = new ArrayList<>();
        for (int image = 0; image < SERVING_IMAGES; image++) {
            int tasks = (workerCount - image + SERVING_IMAGES - 1) / SERVING_IMAGES;
            accept("serving" + image, 0, step(tasks, SERVING_MILLICORES, "serving" + image, TARGET_MILLIS, false));
        }
        accept("batch", 2, step(workerCount, BATCH_MILLICORES, "batch0", 0, true));
        accept("short", 0, step(2 * workerCount, BATCH_MILLICORES, "short0", 0, false));
        for (int i = 0; i < workerCount; i++) {
            Worker worker = new Worker(i);
            workers.put(worker.incarnation, worker);
            reporting.add(worker);
            starts.add(worker.start("serving" + i % SERVING_IMAGES, i / SERVING_IMAGES));
            starts.add(worker.start("batch", i));
            starts.add(worker.start("short", 2 * i));
            starts.add(worker.start("short", 2 * i + 1));
        }
        commit(starts);
        for (int job = 0; job < queuedJobs; job++) {
            submit(tasksPerJob, job % 2 == 0);
        }
        reporting.forEach(worker -> scheduler.report(worker.report(), nowNanos));
    }

    /**
     * Prints a table of the measurements.
     *
     * @param arguments the arguments described at the class
     */
    public static void main(String[] arguments) {
        int shapes = arguments.length > 0 ? Integer.parseInt(arguments[0]) : DEFAULT_SHAPES;
        int[] sizes = arguments.length > 1 ? new int[] {Integer.parseInt(arguments[1])} : WORKERS;
        System.out.println(
                "| workers | queued jobs | waiting tasks | idle round, ms | longest | busy round, ms | longest "
                        + "| starts | report, us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int workerCount : sizes) {
            for (int i = 0; i < QUEUED_JOBS.length; i++) {
                int tasks = QUEUED_JOBS[i] * TASKS_PER_JOB[i];
                Cost idle = new JobRoundBenchmark(workerCount, QUEUED_JOBS[i], TASKS_PER_JOB[i], shapes).play(false);
                Cost busy = new JobRoundBenchmark(workerCount, QUEUED_JOBS[i], TASKS_PER_JOB[i], shapes).play(true);
                System.out.printf(
                        Locale.ROOT,
                        "| %,d | %,d | %,d | %.2f | %.2f | %.2f | %.2f | %d | %.1f |%n",
                        workerCount,
                        QUEUED_JOBS[i],
                        tasks,
                        idle.roundNanos / NANOS_PER_MILLI,
                        idle.longestNanos / NANOS_PER_MILLI,
                        busy.roundNanos / NANOS_PER_MILLI,
                        busy.longestNanos / NANOS_PER_MILLI,
                        busy.starts,
                        busy.reportNanos / NANOS_PER_MICRO);
            }
        }
    }

    private Cost play(boolean busy) {
        long end = THREADS.getCurrentThreadCpuTime() + WARM_UP_NANOS;
        for (int round = 0; round < MIN_WARM_UP_ROUNDS || THREADS.getCurrentThreadCpuTime() < end; round++) {
            report(busy);
            plan();
        }
        int startedBefore = startedTasks;
        long reports = 0;
        long reportNanos = 0;
        long roundNanos = 0;
        long longestNanos = 0;
        for (int round = 0; round < MEASURED_ROUNDS; round++) {
            long start = THREADS.getCurrentThreadCpuTime();
            reports += report(busy);
            reportNanos += THREADS.getCurrentThreadCpuTime() - start;
            long nanos = plan();
            roundNanos += nanos;
            longestNanos = Math.max(longestNanos, nanos);
        }
        return new Cost(
                roundNanos / MEASURED_ROUNDS,
                longestNanos,
                reportNanos / reports,
                (startedTasks - startedBefore) / MEASURED_ROUNDS);
    }

    /** Lets a tenth of the workers report, and returns their number. */
    private int report(boolean busy) {
        nowNanos += ROUND_NANOS;
        int count = reporting.size() / REPORTING_SHARE + 1;
        for (int i = 0; i < count; i++) {
            Worker worker = reporting.get(nextReporting++ % reporting.size());
            if (busy) {
                worker.endShortTask();
            }
            scheduler.report(worker.report(), nowNanos).ifPresent(answer -> worker.acknowledged(answer.acknowledged()));
        }
        return count;
    }

    /** Plans and commits a round, and returns the processor time of planning. */
    private long plan() {
        long start = THREADS.getCurrentThreadCpuTime();
        List<JobTransition> plan = scheduler.plan(nowNanos, TimeUnit.NANOSECONDS.toMillis(nowNanos));
        long nanos = THREADS.getCurrentThreadCpuTime() - start;
        int startedBefore = startedTasks;
        commit(plan);
        int newJobs = startedTasks / STARTED_TASKS_PER_NEW_JOB - startedBefore / STARTED_TASKS_PER_NEW_JOB;
        for (int i = 0; i < newJobs; i++) {
            submit(STARTED_TASKS_PER_NEW_JOB, true);
        }
        return nanos;
    }

    private void commit(List<JobTransition> plan) {
        table.apply(++index, new JobCommand.Advance(table.epoch(), plan));
        for (JobTransition transition : plan) {
            if (transition instanceof JobTransition.Started started) {
                startedTasks++;
                workers.get(started.worker()).running.add(started.run());
            }
        }
    }

    private void submit(int tasks, boolean shortJob) {
        int number = submitted++;
        int shape = number / 2 % shapes;
        String image = (shortJob ? "short" : "batch") + shape % 3;
        long millicores = BATCH_MILLICORES - shape;
        accept("j" + number, shortJob ? 0 : 2, step(tasks, millicores, image, 0, !shortJob));
    }

    private void accept(String id, int priority, JobStep step) {
        JobTerms terms = new JobTerms(JobClassName.of("class" + priority), SERVICE, priority, 3, 1.5, 1_200);
        JobSubmission job = new JobSubmission(JobId.of(id), "payload", List.of(step), JobSchedule.ONCE);
        table.apply(++index, new JobCommand.Accept(job, terms, TimeUnit.NANOSECONDS.toMillis(nowNanos)));
    }

    private static JobStep step(int tasks, long millicores, String image, long targetMillis, boolean bestEffort) {
        return new JobStep(
                tasks,
                Resources.of(millicores, MEMORY_BYTES, 0),
                800,
                List.of(),
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                targetMillis > 0,
                image,
                targetMillis,
                bestEffort,
                0);
    }

    private static SchedulerListener ignoringListener() {
        return (SchedulerListener) Proxy.newProxyInstance(
                SchedulerListener.class.getClassLoader(),
                new Class<?>[] {SchedulerListener.class},
                (proxy, method, parameters) -> null);
    }

    private record Cost(long roundNanos, long longestNanos, long reportNanos, int starts) {}

    private static final class Worker {
        private final WorkerIncarnation incarnation;
        private final Resources capacity = Resources.of(32_000, 128_000, 0);
        private final List<RunKey> running = new ArrayList<>();
        private final List<WorkerReport.EndedRun> ended = new ArrayList<>();
        private final long servingMillis;
        private long sequence;
        private long ends;

        Worker(int number) {
            this.incarnation = new WorkerIncarnation(WorkerId.of("w" + number), 1);
            this.servingMillis = number % 2 == 0 ? ABOVE_BOUND_MILLIS : BELOW_BOUND_MILLIS;
        }

        JobTransition start(String job, int task) {
            return new JobTransition.Started(new RunKey(new TaskKey(JobId.of(job), 0, 0, task), 1), incarnation);
        }

        void endShortTask() {
            if (running.size() > 2) {
                RunKey run = running.remove(2);
                ended.add(new WorkerReport.EndedRun(++ends, run, WorkerReport.ReportedEnd.COMPLETED, ""));
            }
        }

        void acknowledged(long number) {
            ended.removeIf(end -> end.number() <= number);
        }

        WorkerReport report() {
            // Changes with each report, so that no task counts as stalled.
            int percent = (int) (sequence % 100);
            List<WorkerReport.RunningTask> rows = new ArrayList<>();
            for (int i = 0; i < running.size(); i++) {
                boolean serving = i == 0;
                long gauge = serving ? servingMillis : BATCH_MILLICORES;
                rows.add(new WorkerReport.RunningTask(running.get(i), "", serving ? 100 : percent, gauge));
            }
            return new WorkerReport(
                    incarnation,
                    ++sequence,
                    SERVICE,
                    incarnation.worker().value(),
                    capacity,
                    Set.of(),
                    "",
                    false,
                    0,
                    rows,
                    ended);
        }
    }
}
