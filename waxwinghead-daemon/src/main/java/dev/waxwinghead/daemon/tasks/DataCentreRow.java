package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.task.SchedulerTerm;
import dev.waxwinghead.scheduling.task.TaskTable;

/**
 * Represents a data centre in the operators' API.
 *
 * @param dataCentre the data centre
 * @param drained whether the data centre is drained
 * @param drainedAtIndex the log index of the drain, null if the data centre is not drained
 * @param scheduler the acting scheduler, null if there is none
 * @param serviceTasks the number of live tasks of services
 * @param jobTasks the number of live tasks of jobs
 */
record DataCentreRow(
        DataCentreId dataCentre,
        boolean drained,
        Long drainedAtIndex,
        HostId scheduler,
        int serviceTasks,
        int jobTasks) {
    static DataCentreRow of(TaskTable table, DataCentreId dataCentre) {
        Long index = table.drainedDataCentres().get(dataCentre);
        return new DataCentreRow(
                dataCentre,
                index != null,
                index,
                table.scheduler(dataCentre).map(SchedulerTerm::host).orElse(null),
                DataCentreDrainMoves.countServiceTasks(table, dataCentre),
                DataCentreDrainMoves.countJobTasks(table, dataCentre));
    }
}
