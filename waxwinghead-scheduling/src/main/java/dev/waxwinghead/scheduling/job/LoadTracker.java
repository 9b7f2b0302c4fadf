package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.scheduling.overload.AchievedRate;
import dev.waxwinghead.scheduling.overload.JobDemand;
import dev.waxwinghead.scheduling.overload.RoomForecast;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Measures the load of finite jobs, and describes them for {@link dev.waxwinghead.scheduling.overload}. */
final class LoadTracker {
    /**
     * The number of jobs that wait for capacity from which the completed work shows the capacity: any order matters.
     */
    private static final int MIN_WAITING_JOBS = 2;

    private final Map<Pool, AchievedRate> rates = new HashMap<>();
    private final Map<Pool, Set<JobId>> waiting = new HashMap<>();

    /** Discards the measurements, which do not show what other schedulers have done since. */
    void reset() {
        rates.clear();
        waiting.clear();
    }

    /** Records that a task of a finite step has completed. */
    void completed(ServiceName service, JobStep step, long now) {
        if (!step.lasting()) {
            rate(new Pool(service, step.bestEffort()))
                    .completed(coreMillis(step.need().millicores(), step.estimateMillis()), now);
        }
    }

    /** Records that a task waits in the current round. */
    void waiting(JobRecord job, JobStep step, WaitReason reason) {
        boolean forCapacity = reason == WaitReason.NO_CAPACITY || reason == WaitReason.SERVING_TASKS_NEAR_TARGET;
        if (forCapacity && !step.lasting()) {
            waiting.computeIfAbsent(new Pool(job.terms().service(), step.bestEffort()), pool -> new HashSet<>())
                    .add(job.id());
        }
    }

    /** Ends a round, and with it the collection of the jobs that wait. */
    void endRound(long now) {
        waiting.keySet().forEach(this::rate);
        rates.forEach((pool, rate) ->
                rate.waiting(waiting.getOrDefault(pool, Set.of()).size() >= MIN_WAITING_JOBS, now));
        waiting.clear();
    }

    /**
     * Returns the forecast of the capacity for a pool: what the workers can give, and while jobs wait no more than what
     * was achieved lately.
     */
    RoomForecast forecast(Pool pool, long offeredMillicores, long usedCoreMillis, long now) {
        AchievedRate rate = rates.get(pool);
        long achieved = rate == null ? offeredMillicores : rate.millicores(now).orElse(offeredMillicores);
        return new RoomForecast(Math.min(offeredMillicores, achieved), usedCoreMillis);
    }

    private AchievedRate rate(Pool pool) {
        return rates.computeIfAbsent(pool, key -> AchievedRate.create());
    }

    /** Returns the capacity that a job uses; empty if it has lasting or repeated work, or no complete estimate. */
    static Optional<Pool> poolOf(JobRecord job) {
        JobSubmission submission = job.submission();
        boolean bestEffort = true;
        if (!submission.schedule().equals(JobSchedule.ONCE)) {
            return Optional.empty();
        }
        for (JobStep step : submission.steps()) {
            if (step.lasting() || step.estimateMillis() == 0) {
                return Optional.empty();
            }
            bestEffort &= step.bestEffort();
        }
        return Optional.of(new Pool(job.terms().service(), bestEffort));
    }

    /** Returns the work of a job's live runs in core-milliseconds, which count as half done. */
    static long runningCoreMillis(JobRecord job) {
        long running = 0;
        for (List<StepRecord> steps : job.occurrences()) {
            for (StepRecord each : steps) {
                JobStep step = each.step();
                running += each.liveRuns() * coreMillis(step.need().millicores(), step.estimateMillis()) / 2;
            }
        }
        return running;
    }

    /** Describes the work that a job still needs. */
    static JobDemand demandOf(JobRecord job) {
        long accepted = job.acceptedEpochMillis();
        JobTerms terms = job.terms();
        long total = 0;
        long remaining = 0;
        List<List<StepRecord>> occurrences = job.occurrences();
        for (int position = 0; position < job.submission().steps().size(); position++) {
            JobStep step = job.submission().steps().get(position);
            long task = coreMillis(step.need().millicores(), step.estimateMillis());
            total += step.count() * task;
            int waiting = occurrences.isEmpty()
                    ? step.count()
                    : occurrences.get(0).get(position).waitingTasks();
            remaining += waiting * task;
        }
        return new JobDemand(
                job.id(),
                terms.priority(),
                remaining,
                total,
                job.remainingCriticalPathMillis(),
                accepted,
                accepted + terms.objectiveMillis(job.submission()),
                accepted + terms.expiryMillis(job.submission()),
                job.begun(),
                job.liveRuns());
    }

    private static long coreMillis(long millicores, long millis) {
        return Math.round((double) millicores * millis / TimeUnit.SECONDS.toMillis(1));
    }

    /**
     * Identifies a capacity that jobs share.
     *
     * @param service the service whose workers run the tasks
     * @param bestEffort whether the tasks use what others leave unused
     */
    record Pool(ServiceName service, boolean bestEffort) {}
}
