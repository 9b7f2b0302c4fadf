package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.manifest.JobManifest;
import java.util.Optional;

/** The rules by which transitions change the record of a task. */
final class TransitionRules {
    private TransitionRules() {}

    /** Returns the record after a transition, or empty if the transition does not apply to the task. */
    static Optional<TaskRecord> next(
            TaskRecord task, OwnerRecord owner, DataCentreId dataCentre, Transition transition) {
        if (!dataCentre.equals(task.dataCentre())) {
            return Optional.empty();
        }
        if (transition instanceof Transition.Start start) {
            return start(task, owner, start);
        }
        return report(task, owner, (Transition.Report) transition);
    }

    /** Returns the record after the live attempt has ended without a result. */
    static TaskRecord interrupted(TaskRecord task) {
        return task.ended(task.cancelling() ? TaskState.CANCELLED : TaskState.WAITING);
    }

    private static Optional<TaskRecord> start(TaskRecord task, OwnerRecord owner, Transition.Start start) {
        if (task.state() != TaskState.WAITING || start.attempt() != task.attempts() + 1) {
            return Optional.empty();
        }
        return Optional.of(task.withAttempt(new Attempt(
                start.attempt(), start.worker(), start.incarnation(), start.resources(), owner.revision())));
    }

    private static Optional<TaskRecord> report(TaskRecord task, OwnerRecord owner, Transition.Report report) {
        if (task.attempt() == null || task.attempt().number() != report.attempt()) {
            return Optional.empty();
        }
        return switch (report.kind()) {
            case RUNNING -> onlyFrom(task, TaskState.STARTING, TaskState.RUNNING);
            case CHECKPOINTED -> Optional.of(task.withCheckpoint(report.text()));
            case EVICTING ->
                task.state() == TaskState.STOPPING ? Optional.empty() : Optional.of(task.withState(TaskState.STOPPING));
            case COMPLETED -> Optional.of(owner.service() ? interrupted(task) : task.ended(TaskState.COMPLETED));
            case FAILED -> Optional.of(failed(task.withFailure(report.text()), owner));
            case FAILED_BY_WORKER -> Optional.of(interrupted(task));
            case STOPPED, LOST -> Optional.of(interrupted(task.withCheckpoint(report.text())));
        };
    }

    private static Optional<TaskRecord> onlyFrom(TaskRecord task, TaskState from, TaskState to) {
        return task.state() == from ? Optional.of(task.withState(to)) : Optional.empty();
    }

    private static TaskRecord failed(TaskRecord task, OwnerRecord owner) {
        boolean tooOften = owner.manifest() instanceof JobManifest job && task.failures() > job.maxFailures();
        return tooOften && !task.cancelling() ? task.ended(TaskState.FAILED) : interrupted(task);
    }
}
