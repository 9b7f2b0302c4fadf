package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Holds the drained data centres of a task table, and the results of the latest drains by their change ids. */
final class DrainTable {
    /** The number of drains and reverts by which a resend may lag. */
    static final int MAX_RECORDED_CHANGES = 1_000;

    private final Map<DataCentreId, Long> drainedSince = new ConcurrentSkipListMap<>();
    private final LinkedHashMap<ChangeId, DrainChange> changes = new LinkedHashMap<>();

    CommandResult apply(long index, TaskCommand.SetDrained command) {
        DrainChange earlier = changes.get(command.change());
        if (earlier != null) {
            boolean sameContent =
                    earlier.dataCentre().equals(command.dataCentre()) && earlier.drained() == command.drained();
            return new CommandResult(sameContent, earlier.index());
        }
        if (command.drained()) {
            drainedSince.putIfAbsent(command.dataCentre(), index);
        } else {
            drainedSince.remove(command.dataCentre());
        }
        changes.put(
                command.change(), new DrainChange(command.change(), command.dataCentre(), command.drained(), index));
        if (changes.size() > MAX_RECORDED_CHANGES) {
            changes.remove(changes.keySet().iterator().next());
        }
        return new CommandResult(true, index);
    }

    boolean contains(DataCentreId dataCentre) {
        return drainedSince.containsKey(dataCentre);
    }

    Map<DataCentreId, Long> drainedSince() {
        return Collections.unmodifiableMap(drainedSince);
    }

    Collection<DrainChange> changes() {
        return changes.values();
    }

    void restore(TableContents contents) {
        drainedSince.keySet().retainAll(contents.drainedDataCentres().keySet());
        drainedSince.putAll(contents.drainedDataCentres());
        changes.clear();
        contents.drainChanges().forEach(change -> changes.put(change.change(), change));
    }
}
