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

/** Compares the attempts that a worker reports with the task table, and reconciles both by commands and transitions. */
final class PollHandler {
    private static final long STOP_GRACE_MILLIS = 2_000;

    private final TaskTable table;
    private final Outbox outbox;
    private final Commitments commitments;
    private final LeaseDurations times;
    private final WorkerHealth<ManifestKey, TaskId> health;
    private final PressureRelief pressureRelief;

    PollHandler(
            TaskTable table,
            Outbox outbox,
            Commitments commitments,
            LeaseDurations times,
            WorkerHealth<ManifestKey, TaskId> health,
            PressureRelief pressureRelief) {
        this.pressureRelief = pressureRelief;
        this.health = health;
        this.table = table;
        this.outbox = outbox;
        this.commitments = commitments;
        this.times = times;
    }

    /** Returns the commands for a worker, or none until the worker has confirmed the current term. */
    List<WorkerCommand> handle(PollReport report, WorkerEntry entry, long now) {
        reportEarlierIncarnationsLost(report);
        if (!entry.confirmsTerm()) {
            return List.of();
        }
        List<WorkerCommand> commands = new ArrayList<>();
        Set<TaskId> reportedTasks = new HashSet<>();
        for (TaskReport task : report.tasks()) {
            if (isLive(report, task)) {
                reportedTasks.add(task.task());
                entry.markListed(task.task());
                handleLiveAttempt(report.worker().id(), task, entry, now, commands);
            } else {
                handleStaleAttempt(task, commands);
            }
        }
        for (TaskId id : commitments.tasksOn(report.worker().id())) {
            if (!reportedTasks.contains(id)) {
                table.task(id).ifPresent(task -> handleUnlistedAttempt(task, report, entry, now, commands));
            }
        }
        return commands;
    }

    /**
     * Returns whether a proposal to mark attempts of the reporting incarnation as lost is still undecided. The worker
     * must not get a lease until then, since the attempts could otherwise go on running after the tasks have been
     * placed again.
     */
    boolean hasPendingLoss(PollReport report) {
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

    private void reportEarlierIncarnationsLost(PollReport report) {
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

    /** Handles a live attempt that the worker reports. */
    private void handleLiveAttempt(
            WorkerId worker, TaskReport reported, WorkerEntry entry, long now, List<WorkerCommand> commands) {
        TaskRecord task = table.task(reported.task()).orElseThrow();
        if (reported.phase().ended()) {
            if (!outbox.contains(task.id())) {
                pressureRelief.taskEnded(task.id());
                recordHealth(worker, task, reported.phase(), now);
                propose(endKind(worker, reported), task.id(), reported.attempt(), transitionText(reported));
            }
            return;
        }
        if (health.restricted(worker) && entry.observedRunNanos(task.id(), now) >= WorkerHealth.TRIAL_NANOS) {
            health.succeeded(worker, task.owner(), task.id());
        }
        pressureRelief.onReport(worker, reported, now, commands);
        handleRunningAttempt(task, reported, commands);
    }

    private void recordHealth(WorkerId worker, TaskRecord task, PollReport.Phase phase, long now) {
        switch (phase) {
            case COMPLETED -> health.succeeded(worker, task.owner(), task.id());
            case FAILED -> health.failed(worker, task.owner(), task.id(), now);
            default -> health.endedInconclusively(worker, task.id());
        }
    }

    /** Maps a phase to a transition. Failures on a quarantined worker do not count against the job. */
    private Transition.Kind endKind(WorkerId worker, TaskReport reported) {
        return switch (reported.phase()) {
            case COMPLETED -> Transition.Kind.COMPLETED;
            case FAILED -> health.quarantined(worker) ? Transition.Kind.FAILED_BY_WORKER : Transition.Kind.FAILED;
            default -> Transition.Kind.STOPPED;
        };
    }

    private static String transitionText(TaskReport reported) {
        return switch (reported.phase()) {
            case COMPLETED -> null;
            case FAILED -> reported.message();
            default -> reported.checkpoint();
        };
    }

    private void handleRunningAttempt(TaskRecord task, TaskReport reported, List<WorkerCommand> commands) {
        if (task.state() == TaskState.STOPPING) {
            stop(task, reported.attempt(), commands);
        } else if (task.state() == TaskState.STARTING && reported.phase() != PollReport.Phase.STARTING) {
            propose(Transition.Kind.RUNNING, task.id(), reported.attempt(), null);
        }
        if (reported.checkpoint() != null && !Objects.equals(reported.checkpoint(), task.checkpoint())) {
            propose(Transition.Kind.CHECKPOINTED, task.id(), reported.attempt(), reported.checkpoint());
        }
    }

    /** Stops an attempt, after a last checkpoint if the task is to resume later. */
    private static void stop(TaskRecord task, int attempt, List<WorkerCommand> commands) {
        if (!task.cancelling()) {
            commands.add(new WorkerCommand.Checkpoint(task.id(), attempt));
        }
        commands.add(new WorkerCommand.Stop(task.id(), attempt, STOP_GRACE_MILLIS));
    }

    /** Handles a reported attempt that is not live on this worker according to the table. */
    private static void handleStaleAttempt(TaskReport reported, List<WorkerCommand> commands) {
        if (reported.phase().ended()) {
            commands.add(new WorkerCommand.Acknowledge(reported.task(), reported.attempt()));
        } else {
            commands.add(new WorkerCommand.Stop(reported.task(), reported.attempt(), 0));
        }
    }

    /**
     * Handles a live attempt that the worker does not report. In a drained data centre the attempt is not started; it
     * is stopped, and ends once the worker certainly does not run it.
     */
    private void handleUnlistedAttempt(
            TaskRecord task, PollReport report, WorkerEntry entry, long now, List<WorkerCommand> commands) {
        Attempt attempt = task.attempt();
        if (attempt == null
                || !attempt.worker().equals(report.worker().id())
                || attempt.incarnation() != report.incarnation()) {
            return;
        }
        if (task.state() != TaskState.STOPPING) {
            if (table.drained(report.worker().dataCentre())) {
                propose(Transition.Kind.EVICTING, task.id(), attempt.number(), null);
            } else {
                commands.add(startCommand(task, attempt));
            }
            return;
        }
        if (entry.confirmMissing(task.id(), now, times.workerLeaseNanos())) {
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
