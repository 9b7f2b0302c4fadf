package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/** Selects the reasons for waiting that are recorded in the task table, so that brief waits add no log entries. */
final class WaitReasonReporter {
    private static final long MIN_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_COMMANDS_PER_REPORT = 50;

    private final TaskTable table;
    private final Map<ManifestKey, Long> waitingSinceNanos = new HashMap<>();

    WaitReasonReporter(TaskTable table) {
        this.table = table;
    }

    /**
     * Returns commands for the reasons of owners that have waited long enough, if they differ from those in the table.
     */
    List<TaskCommand> report(Map<ManifestKey, String> reasons, long now) {
        waitingSinceNanos.keySet().retainAll(reasons.keySet());
        List<TaskCommand> commands = new ArrayList<>();
        reasons.forEach((key, reason) -> {
            long since = waitingSinceNanos.computeIfAbsent(key, first -> now);
            OwnerRecord owner = table.owner(key).orElse(null);
            boolean isNew = owner != null
                    && owner.status() == OwnerRecord.Status.ACTIVE
                    && !Objects.equals(owner.reason(), reason);
            if (isNew && now - since >= MIN_WAIT_NANOS && commands.size() < MAX_COMMANDS_PER_REPORT) {
                commands.add(new TaskCommand.RecordReason(key, false, reason));
            }
        });
        return commands;
    }
}
