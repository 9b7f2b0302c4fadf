package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.operator.DrainForecast;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskState;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Decides which service tasks leave drained data centres. A task is stopped only if a worker elsewhere has room for it
 * and the service keeps as many running tasks as during a rolling restart. Tasks of jobs run to completion.
 */
final class DataCentreDrainMoves {
    private DataCentreDrainMoves() {}

    /**
     * Returns the tasks to stop now.
     *
     * @param table the task table
     * @param workers the workers of all data centres; those of a scheduler that does not answer may be missing
     * @return the ids, empty if no task is to stop; never null
     */
    static List<TaskId> nextStops(TaskTable table, List<WorkerRow> workers) {
        WorkerRoom room = WorkerRoom.outside(table.drainedDataCentres().keySet(), workers);
        List<OwnerRecord> services = services(table);
        services.forEach(service -> reserveForInterrupted(table, service, room));
        List<TaskId> stops = new ArrayList<>();
        for (OwnerRecord service : services) {
            List<TaskRecord> running = tasks(table, service).stream()
                    .filter(task -> task.state() == TaskState.RUNNING)
                    .toList();
            int allowed = RollingRestart.allowedStops(service, service.desiredTasks() - running.size());
            for (TaskRecord task : running) {
                if (allowed > 0 && table.drained(task.dataCentre()) && room.reserve(service)) {
                    stops.add(task.id());
                    allowed--;
                }
            }
        }
        return stops;
    }

    /**
     * Returns whether the service tasks in a data centre would fit into the others, as far as these are not drained.
     *
     * @param table the task table
     * @param dataCentre the data centre, drained or not
     * @param workers the workers of all data centres
     * @return the forecast, never null
     */
    static DrainForecast forecast(TaskTable table, DataCentreId dataCentre, List<WorkerRow> workers) {
        Set<DataCentreId> drained = new HashSet<>(table.drainedDataCentres().keySet());
        drained.add(dataCentre);
        WorkerRoom room = WorkerRoom.outside(drained, workers);
        List<OwnerRecord> services = services(table);
        services.forEach(service -> reserveForInterrupted(table, service, room));
        List<DrainForecast.Service> forecasts = new ArrayList<>();
        for (OwnerRecord service : services) {
            int live = 0;
            int fitting = 0;
            for (TaskRecord task : tasks(table, service)) {
                if (dataCentre.equals(task.dataCentre()) && isStarted(task)) {
                    live++;
                    fitting += room.reserve(service) ? 1 : 0;
                }
            }
            if (live > 0) {
                forecasts.add(new DrainForecast.Service(service.key().name(), live, fitting));
            }
        }
        boolean fits = forecasts.stream().allMatch(service -> service.fitElsewhere() == service.tasks());
        return new DrainForecast(
                dataCentre, table.drained(dataCentre), fits, forecasts, countJobTasks(table, dataCentre));
    }

    /** Returns the number of live tasks of jobs in a data centre. */
    static int countJobTasks(TaskTable table, DataCentreId dataCentre) {
        return countLive(table, dataCentre, false);
    }

    /** Returns the number of live tasks of services in a data centre. */
    static int countServiceTasks(TaskTable table, DataCentreId dataCentre) {
        return countLive(table, dataCentre, true);
    }

    private static int countLive(TaskTable table, DataCentreId dataCentre, boolean service) {
        return (int) table.tasks().stream()
                .filter(task -> task.state().live() && dataCentre.equals(task.dataCentre()))
                .filter(task ->
                        table.owner(task.owner()).map(OwnerRecord::service).orElse(!service) == service)
                .count();
    }

    /** Reserves room for the tasks that wait or change workers, so that no further task is stopped for that room. */
    private static void reserveForInterrupted(TaskTable table, OwnerRecord service, WorkerRoom room) {
        tasks(table, service).stream().filter(task -> !isStarted(task)).forEach(task -> room.reserve(service));
    }

    private static boolean isStarted(TaskRecord task) {
        return task.state() == TaskState.STARTING || task.state() == TaskState.RUNNING;
    }

    private static List<OwnerRecord> services(TaskTable table) {
        return table.owners().stream().filter(OwnerRecord::service).toList();
    }

    /** Returns the tasks that a service is to have. */
    private static List<TaskRecord> tasks(TaskTable table, OwnerRecord service) {
        return IntStream.range(0, service.desiredTasks())
                .mapToObj(service::taskId)
                .flatMap(id -> table.task(id).stream())
                .toList();
    }
}
