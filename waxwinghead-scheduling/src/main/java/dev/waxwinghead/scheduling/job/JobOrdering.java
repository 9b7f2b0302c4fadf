package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.overload.CapacityOrder;
import dev.waxwinghead.scheduling.overload.JobDemand;
import dev.waxwinghead.scheduling.overload.LoadView;
import dev.waxwinghead.scheduling.overload.RoomForecast;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.LongFunction;

/**
 * Orders active jobs by priority, lateness and due time; earlier jobs are assigned capacity first. Finite jobs whose
 * work exceeds the capacity that they share are ordered among themselves by a {@link CapacityOrder}.
 */
final class JobOrdering {
    private static final Comparator<RankedJob> ORDER = Comparator.comparingInt(RankedJob::priority)
            .thenComparing(RankedJob::lateness)
            .thenComparingLong(RankedJob::dueEpochMillis);

    private JobOrdering() {}

    /**
     * Returns the active jobs in order.
     *
     * @param table the jobs
     * @param rooms returns the forecast of the capacity that jobs share, given the work of their live runs
     * @param order the order of the finite jobs that share a capacity
     * @param epochMillis the current wall-clock time, in milliseconds
     */
    static List<JobRecord> ordered(
            JobTable table,
            BiFunction<LoadTracker.Pool, Long, RoomForecast> rooms,
            CapacityOrder order,
            long epochMillis) {
        List<RankedJob> ranked = new ArrayList<>(table.active().size());
        for (JobId id : table.active()) {
            table.find(id).ifPresent(job -> ranked.add(RankedJob.of(job, epochMillis)));
        }
        ranked.sort(ORDER);
        List<JobRecord> ordered = new ArrayList<>(ranked.size());
        Map<LoadTracker.Pool, List<Integer>> positions = new HashMap<>();
        for (RankedJob each : ranked) {
            each.pool()
                    .ifPresent(pool -> positions
                            .computeIfAbsent(pool, key -> new ArrayList<>())
                            .add(ordered.size()));
            ordered.add(each.job());
        }
        positions.forEach((pool, places) -> reorder(
                ranked, places, view -> order.order(view, epochMillis), used -> rooms.apply(pool, used), ordered));
        return ordered;
    }

    /** Orders the jobs at some positions among themselves; all other jobs keep their positions. */
    private static void reorder(
            List<RankedJob> ranked,
            List<Integer> places,
            Function<LoadView, List<JobDemand>> order,
            LongFunction<RoomForecast> room,
            List<JobRecord> ordered) {
        Map<JobDemand, JobRecord> records = new HashMap<>();
        List<JobDemand> demands = new ArrayList<>(places.size());
        long used = 0;
        for (int place : places) {
            used += LoadTracker.runningCoreMillis(ranked.get(place).job());
            demands.add(ranked.get(place).demand());
            records.put(ranked.get(place).demand(), ranked.get(place).job());
        }
        List<JobDemand> reordered = order.apply(new LoadView(demands, room.apply(used)));
        for (int index = 0; index < places.size(); index++) {
            ordered.set(places.get(index), records.get(reordered.get(index)));
        }
    }

    private record RankedJob(
            JobRecord job, Optional<LoadTracker.Pool> pool, JobDemand demand, JobDemand.Lateness lateness) {
        static RankedJob of(JobRecord job, long epochMillis) {
            JobDemand demand = LoadTracker.demandOf(job);
            return new RankedJob(job, LoadTracker.poolOf(job), demand, demand.lateness(epochMillis));
        }

        int priority() {
            return demand.priority();
        }

        long dueEpochMillis() {
            return demand.dueEpochMillis();
        }
    }
}
