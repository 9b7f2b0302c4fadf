package dev.waxwinghead.benchmarks.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import dev.waxwinghead.scheduling.task.DataCentreScheduler;
import dev.waxwinghead.scheduling.task.LearnedCostModel;
import dev.waxwinghead.scheduling.task.LeaseDurations;
import dev.waxwinghead.scheduling.task.PollReport;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import dev.waxwinghead.scheduling.task.Transition;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Measures the heap memory that a task table and a scheduler use per worker and per task. */
public final class SchedulerMemoryBenchmark {
    private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    private static final int WORKERS = 3_100;
    private static final int JOBS = 380;
    private static final int TASKS_PER_JOB = 100;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private SchedulerMemoryBenchmark() {}

    /**
     * Runs the measurement.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        TaskTable table = TaskTable.create();
        table.apply(1, new TaskCommand.Acquire(DATA_CENTRE, HostId.of("e1"), "e1", 0, 1));
        LeaseDurations times = LeaseDurations.of(Duration.ofHours(1), Duration.ofMinutes(10));
        LearnedCostModel learning = LearnedCostModel.create();
        DataCentreScheduler scheduler = DataCentreScheduler.create(
                table.scheduler(DATA_CENTRE).orElseThrow(), table, times, WorkerScore.byCost(learning), learning, 0, 0);
        long emptyBytes = usedBytes();
        for (int i = 0; i < WORKERS; i++) {
            scheduler.poll(pollReport(i), SECOND_NANOS);
        }
        long bytesWithWorkers = usedBytes();
        List<TaskId> tasks = createTasks(table);
        table.apply(3, new TaskCommand.Delegate(DATA_CENTRE, tasks));
        long bytesWithWaitingTasks = usedBytes();
        tasks.forEach(scheduler::refreshTask);
        startTasks(table, scheduler);
        long bytesWithRunningTasks = usedBytes();
        System.out.printf(
                "per worker %d, per task waiting in the table %d, per task running and scheduled %d bytes%n",
                (bytesWithWorkers - emptyBytes) / WORKERS,
                (bytesWithWaitingTasks - bytesWithWorkers) / tasks.size(),
                (bytesWithRunningTasks - bytesWithWorkers) / tasks.size());
    }

    private static void startTasks(TaskTable table, DataCentreScheduler scheduler) {
        long index = 4;
        for (int second = 2; second < 60; second++) {
            scheduler.extendAuthority(second * SECOND_NANOS);
            scheduler.tick(second * SECOND_NANOS);
            List<Transition> batch = scheduler.takeTransitions(10_000);
            table.apply(index++, new TaskCommand.Transitions(DATA_CENTRE, scheduler.term(), batch));
            scheduler.settle(batch, second * SECOND_NANOS);
        }
    }

    private static List<TaskId> createTasks(TaskTable table) {
        List<TaskCommand.OwnerChange> changes = new ArrayList<>();
        List<TaskId> tasks = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            JobName name = JobName.of("job" + i);
            JobManifest job = new JobManifest(
                    name,
                    TeamName.of("team"),
                    null,
                    TASKS_PER_JOB,
                    Resources.of(500, 1, 0),
                    null,
                    null,
                    null,
                    null,
                    null,
                    null);
            changes.add(new TaskCommand.OwnerChange(job.key(), 1, job));
            for (int task = 0; task < TASKS_PER_JOB; task++) {
                tasks.add(TaskId.of(name, task));
            }
        }
        table.apply(2, new TaskCommand.Reconcile(0, 1, changes));
        return tasks;
    }

    private static PollReport pollReport(int number) {
        WorkerDescription worker = new WorkerDescription(
                WorkerId.of("worker" + number),
                DATA_CENTRE,
                RackId.of("r" + number / 40),
                Resources.of(16_000, 60_000_000_000L, 0),
                Labels.NONE);
        return new PollReport(worker, 1, 1, 1, false, List.of());
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
