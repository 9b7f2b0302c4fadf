package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.WorkerSummary;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The free resources on each worker that accepts tasks outside drained data centres. Only selectors and resources are
 * compared; spreading and the rules for tasks beside each other are left to the schedulers.
 */
final class WorkerRoom {
    private static final String READY = WorkerSummary.State.READY.name().toLowerCase(Locale.ROOT);

    private final List<WorkerRow> workers = new ArrayList<>();
    private final List<Resources> free = new ArrayList<>();

    private WorkerRoom() {}

    static WorkerRoom outside(Set<DataCentreId> drained, List<WorkerRow> rows) {
        WorkerRoom room = new WorkerRoom();
        for (WorkerRow row : rows) {
            boolean accepts = row.state().equals(READY) && row.committed().fitsIn(row.capacity());
            if (accepts && !drained.contains(row.dataCentre())) {
                room.workers.add(row);
                room.free.add(row.capacity().minus(row.committed()));
            }
        }
        return room;
    }

    /** Reserves the resources of one task on the fitting worker with the least free processor time, if there is one. */
    boolean reserve(OwnerRecord owner) {
        int best = -1;
        for (int i = 0; i < workers.size(); i++) {
            boolean fits = owner.resources().fitsIn(free.get(i))
                    && owner.placement().workers().matches(workers.get(i).labels());
            if (fits && (best < 0 || free.get(i).millicores() < free.get(best).millicores())) {
                best = i;
            }
        }
        if (best < 0) {
            return false;
        }
        free.set(best, free.get(best).minus(owner.resources()));
        return true;
    }
}
