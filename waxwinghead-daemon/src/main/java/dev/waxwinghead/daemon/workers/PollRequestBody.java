package dev.waxwinghead.daemon.workers;

import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import dev.waxwinghead.scheduling.task.PollReport;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Represents the JSON body of a worker's poll. */
record PollRequestBody(WorkerBody worker, Long sequence, long schedulerTerm, Boolean leaving, List<TaskBody> tasks) {
    PollReport toReport() {
        require(worker != null, "worker is missing", "describe the worker");
        List<TaskBody> listed = tasks == null ? List.of() : tasks;
        return new PollReport(
                worker.toDescription(),
                worker.incarnation(),
                sequence == null ? 0 : sequence,
                schedulerTerm,
                leaving != null && leaving,
                listed.stream().map(TaskBody::toReport).toList());
    }

    private static void require(boolean holds, String message, String remedy) {
        if (!holds) {
            throw WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
        }
    }

    /** Represents a worker in JSON. */
    record WorkerBody(
            WorkerId id, long incarnation, DataCentreId dataCentre, RackId rack, Resources capacity, Labels labels) {
        WorkerDescription toDescription() {
            require(
                    id != null && dataCentre != null && capacity != null,
                    "the worker's id, dataCentre or capacity is missing",
                    "give all three");
            return new WorkerDescription(
                    id,
                    dataCentre,
                    rack == null ? RackId.of("none") : rack,
                    capacity,
                    labels == null ? Labels.NONE : labels);
        }
    }

    /** Represents a task of a worker in JSON. */
    record TaskBody(TaskId task, int attempt, String state, UsageBody usage, String checkpoint, String exitMessage) {
        PollReport.TaskReport toReport() {
            require(task != null && attempt > 0, "a task's id or attempt is missing", "give both");
            return new PollReport.TaskReport(
                    task, attempt, phase(), usage == null ? null : usage.toUsage(), checkpoint, exitMessage);
        }

        private PollReport.Phase phase() {
            for (PollReport.Phase phase : PollReport.Phase.values()) {
                if (phase.name().toLowerCase(Locale.ROOT).equals(state)) {
                    return phase;
                }
            }
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT,
                    "task state '" + state + "' is unknown",
                    "use starting, running, checkpointed, completed, failed or stopped");
        }
    }

    /** Represents a usage measurement in JSON. */
    record UsageBody(long millicores, long memoryBytes, long measuredAgoMillis, Double latencyRatio) {
        PollReport.Usage toUsage() {
            return new PollReport.Usage(
                    millicores,
                    memoryBytes,
                    TimeUnit.MILLISECONDS.toNanos(measuredAgoMillis),
                    latencyRatio == null ? 0 : latencyRatio);
        }
    }
}
