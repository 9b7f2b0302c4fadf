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

/** Chooses which reasons for waiting are worth an entry of the log. */
final class RefusalReporter {
    private static final long LEAST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MOST_PER_TURN = 50;

    private final TaskTable table;
    private final Map<ManifestKey, Long> refusedSince = new HashMap<>();

    RefusalReporter(TaskTable table) {
        this.table = table;
    }

    /** Returns the reasons that have stood for a while and differ from those in the table. */
    List<TaskCommand> report(Map<ManifestKey, String> refusals, long now) {
        refusedSince.keySet().retainAll(refusals.keySet());
        List<TaskCommand> commands = new ArrayList<>();
        refusals.forEach((key, reason) -> {
            long since = refusedSince.computeIfAbsent(key, first -> now);
            OwnerRecord owner = table.owner(key).orElse(null);
            boolean isNew = owner != null
                    && owner.status() == OwnerRecord.Status.ACTIVE
                    && !Objects.equals(owner.reason(), reason);
            if (isNew && now - since >= LEAST_WAIT_NANOS && commands.size() < MOST_PER_TURN) {
                commands.add(new TaskCommand.Explain(key, false, reason));
            }
        });
        return commands;
    }
}
