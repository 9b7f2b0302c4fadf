package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.Optional;

/**
 * The record of one task in the task table. Immutable.
 *
 * @param id the id of the task
 * @param owner the service or job of the task
 * @param state the state of the task
 * @param dataCentre the data centre to which the task is delegated; null if not delegated
 * @param attempts the highest attempt number used so far
 * @param attempt the live attempt; null if there is none
 * @param checkpoint the last acknowledged checkpoint; null if there is none
 * @param cancelling whether the task is to be cancelled once its attempt has ended
 * @param failures the number of failed attempts
 * @param message the message of the last failure; null if there is none
 * @since 0.1
 */
public record TaskRecord(
        TaskId id,
        ManifestKey owner,
        TaskState state,
        DataCentreId dataCentre,
        int attempts,
        Attempt attempt,
        String checkpoint,
        boolean cancelling,
        int failures,
        String message) {
    static TaskRecord created(TaskId id, ManifestKey owner, int attempts) {
        return new TaskRecord(id, owner, TaskState.WAITING, null, attempts, null, null, false, 0, null);
    }

    /**
     * Returns the live attempt.
     *
     * @return the attempt, empty if none is live
     */
    public Optional<Attempt> liveAttempt() {
        return Optional.ofNullable(attempt);
    }

    TaskRecord withState(TaskState next) {
        return new TaskRecord(
                id, owner, next, dataCentre, attempts, attempt, checkpoint, cancelling, failures, message);
    }

    TaskRecord withAttempt(Attempt started) {
        return new TaskRecord(
                id,
                owner,
                TaskState.STARTING,
                dataCentre,
                started.number(),
                started,
                checkpoint,
                cancelling,
                failures,
                message);
    }

    TaskRecord withCheckpoint(String next) {
        String kept = next == null ? checkpoint : next;
        return new TaskRecord(id, owner, state, dataCentre, attempts, attempt, kept, cancelling, failures, message);
    }

    TaskRecord withFailure(String text) {
        return new TaskRecord(
                id, owner, state, dataCentre, attempts, attempt, checkpoint, cancelling, failures + 1, text);
    }

    TaskRecord withDataCentre(DataCentreId next) {
        return new TaskRecord(id, owner, state, next, attempts, attempt, checkpoint, cancelling, failures, message);
    }

    TaskRecord ended(TaskState next) {
        return new TaskRecord(id, owner, next, dataCentre, attempts, null, checkpoint, cancelling, failures, message);
    }

    TaskRecord withCancellation() {
        TaskState next = state.live() ? TaskState.STOPPING : TaskState.CANCELLED;
        return new TaskRecord(id, owner, next, dataCentre, attempts, attempt, checkpoint, true, failures, message);
    }

    TaskRecord withoutCancellation() {
        return new TaskRecord(id, owner, state, dataCentre, attempts, attempt, checkpoint, false, failures, message);
    }
}
