package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Puts the jobs that have not ended in the order in which they get room. */
final class JobQueue {
    private static final Comparator<Waiting> ORDER = Comparator.comparingInt(Waiting::priority)
            .thenComparing(Waiting::hope)
            .thenComparingLong(Waiting::dueEpochMillis);

    private JobQueue() {}

    static List<JobRecord> ordered(JobTable table, long epochMillis) {
        List<Waiting> waiting = new ArrayList<>(table.active().size());
        for (JobId id : table.active()) {
            table.find(id).ifPresent(job -> waiting.add(Waiting.of(job, epochMillis)));
        }
        waiting.sort(ORDER);
        return waiting.stream().map(Waiting::job).toList();
    }

    /** Tells what a job can still be worth; the order is that in which jobs get room. */
    private enum Hope {
        /** It can still meet its objective. */
        IN_TIME,
        /** It will be late, but not too late. */
        LATE,
        /** It is worth nothing any more. */
        NONE
    }

    private record Waiting(JobRecord job, int priority, Hope hope, long dueEpochMillis) {
        static Waiting of(JobRecord job, long epochMillis) {
            JobTerms terms = job.terms();
            long accepted = job.acceptedEpochMillis();
            long due = accepted + terms.objectiveMillis(job.submission());
            return new Waiting(job, terms.priority(), hope(job, due, epochMillis), due);
        }

        private static Hope hope(JobRecord job, long due, long epochMillis) {
            if (epochMillis - job.acceptedEpochMillis() > job.terms().worthlessAfterMillis(job.submission())) {
                return Hope.NONE;
            }
            return epochMillis + job.remainingChainMillis() <= due ? Hope.IN_TIME : Hope.LATE;
        }
    }
}
