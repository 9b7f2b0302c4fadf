package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Puts the jobs that have not ended in the order in which they get room. */
final class JobQueue {
    private static final Comparator<Waiting> ORDER = Comparator.comparing(Waiting::lasting, Comparator.reverseOrder())
            .thenComparingInt(Waiting::priority)
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

    /**
     * Holds a job with what decides about its place.
     *
     * @param job the job
     * @param lasting whether it has tasks that serve users until it is canceled: they are never late, and each moment
     *     without one of them is lost, so they go before all jobs that end
     * @param priority 0 goes first
     * @param hope what it can still be worth
     * @param dueEpochMillis when its objective ends
     */
    private record Waiting(JobRecord job, boolean lasting, int priority, Hope hope, long dueEpochMillis) {
        static Waiting of(JobRecord job, long epochMillis) {
            JobTerms terms = job.terms();
            long accepted = job.acceptedEpochMillis();
            long due = accepted + terms.objectiveMillis(job.submission());
            boolean lasting = job.submission().steps().stream().anyMatch(step -> step.lasting() && !step.bestEffort());
            return new Waiting(job, lasting, terms.priority(), hope(job, due, epochMillis), due);
        }

        private static Hope hope(JobRecord job, long due, long epochMillis) {
            if (epochMillis - job.acceptedEpochMillis() > job.terms().worthlessAfterMillis(job.submission())) {
                return Hope.NONE;
            }
            return epochMillis + job.remainingChainMillis() <= due ? Hope.IN_TIME : Hope.LATE;
        }
    }
}
