package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.scheduling.task.LeaseDurations;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects data centres whose scheduler has not renewed its term, or has released it without a successor, for so long
 * that none of their tasks can be running.
 *
 * <p>A scheduler's lease counts from when the scheduler sent its last renewal. This host counts from when it observed
 * that renewal applied, which is later, so this host revokes a term only after the term's lease has ended.
 */
final class DataCentreFailureDetector {
    private final TaskTable table;
    private final Map<DataCentreId, Observation> lastObservations = new HashMap<>();

    DataCentreFailureDetector(TaskTable table) {
        this.table = table;
    }

    void observe(long now) {
        for (SchedulerTerm term : table.schedulers()) {
            Observation previous = lastObservations.get(term.dataCentre());
            if (previous == null || !previous.term().equals(term)) {
                lastObservations.put(term.dataCentre(), new Observation(term, now, false));
            }
        }
    }

    List<TaskCommand> revocations(long now) {
        List<TaskCommand> commands = new ArrayList<>();
        lastObservations.replaceAll((dataCentre, last) -> {
            if (last.ended() || now - last.sinceNanos() < LeaseDurations.termExpiryNanos(last.term())) {
                return last;
            }
            if (last.term().host() == null && !hasLiveTasks(dataCentre)) {
                return last.asEnded();
            }
            commands.add(new TaskCommand.Revoke(
                    dataCentre, last.term().term(), last.term().renewals()));
            return last;
        });
        return commands;
    }

    private boolean hasLiveTasks(DataCentreId dataCentre) {
        return table.tasks().stream().anyMatch(task -> task.state().live() && dataCentre.equals(task.dataCentre()));
    }

    /**
     * The last change of a term.
     *
     * @param term the term
     * @param sinceNanos when this host observed the change, in nanoseconds
     * @param ended whether nobody holds the term and no attempt is live, so that none becomes live in this term
     */
    private record Observation(SchedulerTerm term, long sinceNanos, boolean ended) {
        Observation asEnded() {
            return new Observation(term, sinceNanos, true);
        }
    }
}
