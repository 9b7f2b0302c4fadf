package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Orders active jobs by priority, lateness and due time; earlier jobs are assigned capacity first. */
final class JobOrdering {
    private static final Comparator<RankedJob> ORDER = Comparator.comparingInt(RankedJob::priority)
            .thenComparing(RankedJob::lateness)
            .thenComparingLong(RankedJob::dueEpochMillis);

    private JobOrdering() {}

    static List<JobRecord> ordered(JobTable table, long epochMillis) {
        List<RankedJob> ranked = new ArrayList<>(table.active().size());
        for (JobId id : table.active()) {
            table.find(id).ifPresent(job -> ranked.add(RankedJob.of(job, epochMillis)));
        }
        ranked.sort(ORDER);
        return ranked.stream().map(RankedJob::job).toList();
    }

    /** Enumerates whether a job can still meet its objective; earlier constants precede later ones. */
    private enum Lateness {
        /** The job can still meet its objective. */
        ON_TIME,
        /** The job will miss its objective, but its result is still useful. */
        LATE,
        /** The job is so late that its result is no longer useful. */
        EXPIRED
    }

    private record RankedJob(JobRecord job, int priority, Lateness lateness, long dueEpochMillis) {
        static RankedJob of(JobRecord job, long epochMillis) {
            JobTerms terms = job.terms();
            long accepted = job.acceptedEpochMillis();
            long due = accepted + terms.objectiveMillis(job.submission());
            return new RankedJob(job, terms.priority(), lateness(job, due, epochMillis), due);
        }

        private static Lateness lateness(JobRecord job, long due, long epochMillis) {
            if (epochMillis - job.acceptedEpochMillis() > job.terms().expiryMillis(job.submission())) {
                return Lateness.EXPIRED;
            }
            return epochMillis + job.remainingCriticalPathMillis() <= due ? Lateness.ON_TIME : Lateness.LATE;
        }
    }
}
