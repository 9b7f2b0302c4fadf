package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.SchedulerTimes;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds data centres that have been silent for so long that none of their tasks can be running.
 *
 * <p>The scheduler's authority counts from when it sent its last renewal; this side counts from when it saw that
 * renewal applied, which is later.
 */
final class DataCentreWatch {
    private final TaskTable table;
    private final Map<DataCentreId, Seen> seen = new HashMap<>();

    DataCentreWatch(TaskTable table) {
        this.table = table;
    }

    void observe(long now) {
        for (SchedulerTerm term : table.schedulers()) {
            Seen before = seen.get(term.dataCentre());
            if (before == null || !before.term().equals(term)) {
                seen.put(term.dataCentre(), new Seen(term, now));
            }
        }
    }

    List<TaskCommand> revocations(long now) {
        List<TaskCommand> commands = new ArrayList<>();
        seen.values().forEach(last -> {
            if (last.term().host() != null && now - last.sinceNanos() >= SchedulerTimes.surelyOverNanos(last.term())) {
                commands.add(new TaskCommand.Revoke(
                        last.term().dataCentre(),
                        last.term().term(),
                        last.term().renewals()));
            }
        });
        return commands;
    }

    private record Seen(SchedulerTerm term, long sinceNanos) {}
}
