package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.ColocationCostModel;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A scheduler whose proposed transitions are applied immediately, with fake workers that execute all commands. */
final class SchedulerFixture {
    static final long SECOND = 1_000_000_000L;

    final TaskTable table = TaskTable.create();
    DataCentreScheduler scheduler;
    final Map<String, FakeWorker> workers = new TreeMap<>();
    boolean ticksBeforeSettling;
    private final List<TaskId> changedTasks = new ArrayList<>();
    private long index;
    private long now;

    SchedulerFixture() {
        SchedulerTerm term = acquire(0);
        scheduler = DataCentreScheduler.create(
                term,
                table,
                SchedulerSimulation.TIMES,
                WorkerScore.byCost(ColocationCostModel.NONE),
                LearnedCostModel.create(),
                now,
                now);
        table.onChange(task -> changedTasks.add(task.id()));
    }

    /** Acquires a new term for the acting host, as after a proposal with an unknown outcome. */
    void acquireAgain() {
        SchedulerTerm term = acquire(scheduler.term());
        changedTasks.clear();
        scheduler = scheduler.succeed(
                term, WorkerScore.byCost(ColocationCostModel.NONE), LearnedCostModel.create(), now, now);
    }

    private SchedulerTerm acquire(long expectedTerm) {
        DataCentreId dataCentre = SchedulerSimulation.DATA_CENTRE;
        apply(new TaskCommand.Acquire(
                dataCentre, HostId.of("e1"), "e1", expectedTerm, SchedulerSimulation.TIMES.maxLeaseMillis()));
        return table.scheduler(dataCentre).orElseThrow();
    }

    static JobManifest job(String name, String team, int tasks, int millicores, boolean urgent) {
        return new JobManifest(
                JobName.of(name),
                TeamName.of(team),
                null,
                tasks,
                Resources.of(millicores, 1, 0),
                null,
                null,
                urgent,
                null,
                1_000,
                null);
    }

    void apply(TaskCommand command) {
        table.apply(++index, command);
    }

    void declare(Manifest... manifests) {
        long revision = table.configurationRevision() + 1;
        List<TaskCommand.OwnerChange> changes = new ArrayList<>();
        for (Manifest manifest : manifests) {
            changes.add(new TaskCommand.OwnerChange(manifest.key(), revision, manifest));
        }
        apply(new TaskCommand.Reconcile(revision - 1, revision, changes));
        apply(new TaskCommand.Delegate(
                SchedulerSimulation.DATA_CENTRE,
                table.tasks().stream().map(TaskRecord::id).sorted().toList()));
    }

    FakeWorker worker(String name, long millicores) {
        return workers.computeIfAbsent(name, key -> new FakeWorker(key, millicores));
    }

    /** Advances the time in steps of 100 ms; all workers that are not silent poll once per step. */
    void advance(double seconds) {
        for (int i = 0; i < seconds * 10; i++) {
            now += SECOND / 10;
            scheduler.extendAuthority(now);
            for (FakeWorker worker : workers.values()) {
                if (!worker.silent) {
                    worker.poll();
                }
                applyTransitions();
            }
            scheduler.tick(now);
            applyTransitions();
        }
    }

    long count(String job, TaskState state) {
        ManifestKey key = ManifestKey.of(ManifestKind.JOB, job);
        return table.tasks().stream()
                .filter(task -> task.owner().equals(key) && task.state() == state)
                .count();
    }

    private void applyTransitions() {
        for (List<Transition> batch = nextBatch(); !batch.isEmpty(); batch = nextBatch()) {
            apply(new TaskCommand.Transitions(SchedulerSimulation.DATA_CENTRE, scheduler.term(), batch));
            refresh();
            if (ticksBeforeSettling) {
                scheduler.tick(now);
            }
            scheduler.settle(batch, now);
        }
    }

    private List<Transition> nextBatch() {
        refresh();
        return scheduler.takeTransitions(10_000);
    }

    private void refresh() {
        List<TaskId> pending = List.copyOf(changedTasks);
        changedTasks.clear();
        pending.forEach(scheduler::refreshTask);
    }

    /** A worker that runs each task for one second, or fails at once the tasks configured to fail. */
    final class FakeWorker {
        final Map<TaskId, PollReport.TaskReport> tasks = new LinkedHashMap<>();
        final List<WorkerCommand.Start> starts = new ArrayList<>();
        final Map<String, Boolean> failing = new HashMap<>();
        long millicores;
        boolean failsAll;
        boolean runsForever;
        boolean silent;
        private final WorkerId id;
        private final Map<TaskId, Long> endsAt = new HashMap<>();
        private long sequence;

        FakeWorker(String name, long millicores) {
            this.id = WorkerId.of(name);
            this.millicores = millicores;
        }

        long running() {
            return tasks.values().stream()
                    .filter(task -> task.phase() == PollReport.Phase.RUNNING)
                    .count();
        }

        void failAll() {
            tasks.keySet().forEach(task -> end(task, PollReport.Phase.FAILED));
        }

        private void poll() {
            if (!runsForever) {
                endsAt.forEach((task, end) -> {
                    if (now >= end && tasks.get(task).phase() == PollReport.Phase.RUNNING) {
                        end(task, PollReport.Phase.COMPLETED);
                    }
                });
            }
            WorkerDescription description = new WorkerDescription(
                    id,
                    SchedulerSimulation.DATA_CENTRE,
                    RackId.of("r1"),
                    Resources.of(millicores, 1_000_000, 0),
                    Labels.NONE);
            PollReport report =
                    new PollReport(description, 1, ++sequence, scheduler.term(), false, List.copyOf(tasks.values()));
            scheduler.poll(report, now).commands().forEach(this::execute);
        }

        private void execute(WorkerCommand command) {
            if (command instanceof WorkerCommand.Start start && !tasks.containsKey(start.task())) {
                starts.add(start);
                String job = start.task().value().split("/", -1)[1];
                boolean fails = failsAll || failing.getOrDefault(job, false);
                tasks.put(
                        start.task(),
                        new PollReport.TaskReport(
                                start.task(),
                                start.attempt(),
                                PollReport.Phase.RUNNING,
                                null,
                                "c" + start.attempt(),
                                null));
                endsAt.put(start.task(), now + SECOND);
                if (fails) {
                    end(start.task(), PollReport.Phase.FAILED);
                }
            } else if (command instanceof WorkerCommand.Stop stop && tasks.containsKey(stop.task())) {
                end(stop.task(), PollReport.Phase.STOPPED);
            } else if (command instanceof WorkerCommand.Acknowledge acknowledge) {
                tasks.remove(acknowledge.task());
                endsAt.remove(acknowledge.task());
            }
        }

        private void end(TaskId task, PollReport.Phase phase) {
            tasks.computeIfPresent(
                    task,
                    (id, reported) -> reported.phase().ended()
                            ? reported
                            : new PollReport.TaskReport(
                                    id,
                                    reported.attempt(),
                                    phase,
                                    null,
                                    reported.checkpoint(),
                                    phase == PollReport.Phase.FAILED ? "broken" : null));
        }
    }
}
