package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.scheduling.health.WorkerHealth;
import dev.waxwinghead.scheduling.task.PollReport.TaskReport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Compares what a worker has with what the table says, and brings the two together. */
final class PollHandler {
    private static final long STOP_GRACE_MILLIS = 2_000;
    private static final long PROOF_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final TaskTable table;
    private final Outbox outbox;
    private final Commitments commitments;
    private final SchedulerTimes times;
    private final WorkerHealth<ManifestKey> health;
    private final PressureRelief relief;

    PollHandler(
            TaskTable table,
            Outbox outbox,
            Commitments commitments,
            SchedulerTimes times,
            WorkerHealth<ManifestKey> health,
            PressureRelief relief) {
        this.relief = relief;
        this.health = health;
        this.table = table;
        this.outbox = outbox;
        this.commitments = commitments;
        this.times = times;
    }

    /** Returns the worker's commands: none before it has said that it obeys this term. */
    List<WorkerCommand> handle(PollReport report, WorkerEntry entry, long now) {
        loseEarlierIncarnations(report);
        if (!entry.heard()) {
            return List.of();
        }
        List<WorkerCommand> commands = new ArrayList<>();
        Set<TaskId> listed = new HashSet<>();
        for (TaskReport task : report.tasks()) {
            if (isLive(report, task)) {
                listed.add(task.task());
                entry.listed(task.task());
                follow(report.worker().id(), task, entry, now, commands);
            } else {
                dismiss(task, commands);
            }
        }
        for (TaskId id : commitments.tasksOn(report.worker().id())) {
            if (!listed.contains(id)) {
                table.task(id).ifPresent(task -> complete(task, report, entry, now, commands));
            }
        }
        return commands;
    }

    /**
     * Tells whether attempts of this very incarnation are being given up. The worker gets no lease until that is
     * decided, or they could run on after they have been placed again.
     */
    boolean losing(PollReport report) {
        for (TaskId id : commitments.tasksOn(report.worker().id())) {
            Attempt attempt = table.task(id).map(TaskRecord::attempt).orElse(null);
            boolean lost =
                    outbox.pending(id) instanceof Transition.Report pending && pending.kind() == Transition.Kind.LOST;
            if (lost && attempt != null && attempt.incarnation() == report.incarnation()) {
                return true;
            }
        }
        return false;
    }

    private void loseEarlierIncarnations(PollReport report) {
        for (TaskId id : commitments.tasksOn(report.worker().id())) {
            Attempt attempt = table.task(id).map(TaskRecord::attempt).orElse(null);
            if (attempt != null
                    && attempt.worker().equals(report.worker().id())
                    && attempt.incarnation() < report.incarnation()) {
                propose(Transition.Kind.LOST, id, attempt.number(), null);
            }
        }
    }

    private boolean isLive(PollReport report, TaskReport reported) {
        Attempt live = table.task(reported.task()).map(TaskRecord::attempt).orElse(null);
        return live != null
                && live.number() == reported.attempt()
                && live.worker().equals(report.worker().id())
                && live.incarnation() == report.incarnation();
    }

    /** Follows a live attempt that the worker lists. */
    private void follow(
            WorkerId worker, TaskReport reported, WorkerEntry entry, long now, List<WorkerCommand> commands) {
        TaskRecord task = table.task(reported.task()).orElseThrow();
        if (reported.phase().ended()) {
            if (!outbox.holds(task.id())) {
                relief.ended(task.id());
                judge(worker, task, reported.phase(), now);
                propose(outcome(worker, reported), task.id(), reported.attempt(), text(reported));
            }
            return;
        }
        if (health.restricted(worker) && entry.ranFor(task.id(), now) >= PROOF_NANOS) {
            health.succeeded(worker, task.owner());
        }
        relief.follow(worker, reported, now, commands);
        followRunning(task, reported, commands);
    }

    private void judge(WorkerId worker, TaskRecord task, PollReport.Phase phase, long now) {
        switch (phase) {
            case COMPLETED -> health.succeeded(worker, task.owner());
            case FAILED -> health.failed(worker, task.owner(), now);
            default -> health.withdrawn(worker);
        }
    }

    /** A failure does not count against the job once its worker is known to fail everything. */
    private Transition.Kind outcome(WorkerId worker, TaskReport reported) {
        return switch (reported.phase()) {
            case COMPLETED -> Transition.Kind.COMPLETED;
            case FAILED -> health.quarantined(worker) ? Transition.Kind.FAILED_BY_WORKER : Transition.Kind.FAILED;
            default -> Transition.Kind.STOPPED;
        };
    }

    private static String text(TaskReport reported) {
        return switch (reported.phase()) {
            case COMPLETED -> null;
            case FAILED -> reported.message();
            default -> reported.checkpoint();
        };
    }

    private void followRunning(TaskRecord task, TaskReport reported, List<WorkerCommand> commands) {
        if (task.state() == TaskState.STOPPING) {
            stop(task, reported.attempt(), commands);
        } else if (task.state() == TaskState.STARTING && reported.phase() != PollReport.Phase.STARTING) {
            propose(Transition.Kind.RUNNING, task.id(), reported.attempt(), null);
        }
        if (reported.checkpoint() != null && !Objects.equals(reported.checkpoint(), task.checkpoint())) {
            propose(Transition.Kind.CHECKPOINTED, task.id(), reported.attempt(), reported.checkpoint());
        }
    }

    /** Stops an attempt, after a last checkpoint if it is to go on elsewhere. */
    private static void stop(TaskRecord task, int attempt, List<WorkerCommand> commands) {
        if (!task.cancelling()) {
            commands.add(new WorkerCommand.Checkpoint(task.id(), attempt));
        }
        commands.add(new WorkerCommand.Stop(task.id(), attempt, STOP_GRACE_MILLIS));
    }

    /** Answers for an attempt that the table does not hold as live on this worker. */
    private static void dismiss(TaskReport reported, List<WorkerCommand> commands) {
        if (reported.phase().ended()) {
            commands.add(new WorkerCommand.Acknowledge(reported.task(), reported.attempt()));
        } else {
            commands.add(new WorkerCommand.Stop(reported.task(), reported.attempt(), 0));
        }
    }

    /** Answers for a live attempt that the worker does not list. */
    private void complete(
            TaskRecord task, PollReport report, WorkerEntry entry, long now, List<WorkerCommand> commands) {
        Attempt attempt = task.attempt();
        if (attempt == null
                || !attempt.worker().equals(report.worker().id())
                || attempt.incarnation() != report.incarnation()) {
            return;
        }
        if (task.state() != TaskState.STOPPING) {
            commands.add(startCommand(task, attempt));
            return;
        }
        if (entry.surelyMissing(task.id(), now, times.workerLeaseNanos())) {
            propose(Transition.Kind.STOPPED, task.id(), attempt.number(), null);
        } else {
            commands.add(new WorkerCommand.Stop(task.id(), attempt.number(), STOP_GRACE_MILLIS));
        }
    }

    private WorkerCommand startCommand(TaskRecord task, Attempt attempt) {
        OwnerRecord owner = table.owner(task.owner()).orElseThrow();
        return new WorkerCommand.Start(
                task.id(),
                attempt.number(),
                attempt.resources(),
                owner.settings(),
                owner.serviceTerms(),
                task.checkpoint());
    }

    private void propose(Transition.Kind kind, TaskId task, int attempt, String text) {
        outbox.add(new Transition.Report(kind, task, attempt, text));
    }
}
