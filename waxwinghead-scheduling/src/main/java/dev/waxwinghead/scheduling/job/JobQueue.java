package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Puts the jobs that have not ended in the order in which they get room. */
final class JobQueue {
    private static final Comparator<Waiting> ORDER = Comparator.comparingInt(Waiting::priority)
            .thenComparing(Waiting::worthless)
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

    private record Waiting(JobRecord job, int priority, boolean worthless, long dueEpochMillis) {
        static Waiting of(JobRecord job, long epochMillis) {
            JobTerms terms = job.terms();
            long accepted = job.acceptedEpochMillis();
            boolean worthless = epochMillis - accepted > terms.worthlessAfterMillis(job.submission());
            return new Waiting(job, terms.priority(), worthless, accepted + terms.objectiveMillis(job.submission()));
        }
    }
}
