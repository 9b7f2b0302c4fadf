package dev.waxwinghead.scheduling.overload;

import dev.waxwinghead.scheduling.overload.JobDemand.Lateness;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/** Selects the jobs of one priority that can end in time while the capacity does not suffice for all of them. */
final class Selection {
    /**
     * The share of the capacity until its expiry that a job may take together with the other jobs that have waited for
     * longer than half of their useful time. They are late, so a larger share would make more jobs late than it serves.
     */
    private static final double LONG_WAIT_SHARE = 0.1;

    /** The error of callers' estimates, as a share of the estimate, that a job which begins now is to withstand. */
    private static final double ESTIMATE_ERROR = 0.5;

    /** The candidate to remove first: the least value per work, the shortest wait in case of a tie. */
    private static final Comparator<Candidate> LEAST_LOSS = Comparator.comparingDouble(Candidate::density)
            .thenComparing(
                    Candidate::job,
                    Comparator.comparingLong(JobDemand::acceptedEpochMillis).reversed());

    private static final Comparator<JobDemand> DUE_TIME = Comparator.comparingLong(JobDemand::dueEpochMillis);

    private final RoomForecast room;
    private final double aheadCoreMillis;
    private final long epochMillis;

    /**
     * Creates a selection.
     *
     * @param room the forecast of the capacity
     * @param aheadCoreMillis the work of the jobs of higher priorities, in core-milliseconds
     * @param epochMillis the current wall-clock time, in milliseconds
     */
    Selection(RoomForecast room, double aheadCoreMillis, long epochMillis) {
        this.room = room;
        this.aheadCoreMillis = aheadCoreMillis;
        this.epochMillis = epochMillis;
    }

    /** Returns whether all jobs that can still meet their objectives can be given the capacity to do so. */
    boolean sufficientFor(List<JobDemand> level) {
        double work = aheadCoreMillis;
        for (JobDemand job : level) {
            if (job.lateness(epochMillis) == Lateness.ON_TIME) {
                work += job.remainingCoreMillis();
                if (work > roomUntil(job.dueEpochMillis())) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Returns the jobs of a priority in order, except those whose result is no longer useful.
     *
     * @param level the jobs, those that can meet their objectives first and each group by due time
     * @param expired receives the jobs whose result is no longer useful
     */
    List<JobDemand> order(List<JobDemand> level, List<JobDemand> expired) {
        List<JobDemand> order = longWaits(level);
        Set<JobDemand> chosen = new HashSet<>(order);
        double work = aheadCoreMillis;
        for (JobDemand job : order) {
            work += job.remainingCoreMillis();
        }
        List<Candidate> candidates = new ArrayList<>();
        List<Candidate> rest = new ArrayList<>();
        for (JobDemand job : level) {
            Lateness lateness = job.lateness(epochMillis);
            if (lateness == Lateness.EXPIRED) {
                expired.add(job);
            } else if (!chosen.contains(job)) {
                boolean eligible = lateness == Lateness.ON_TIME || job.begun();
                (eligible ? candidates : rest).add(candidate(job, lateness));
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::endEpochMillis));
        select(candidates, work, rest).stream()
                .map(Candidate::job)
                .sorted(DUE_TIME)
                .forEach(order::add);
        rest.sort(LEAST_LOSS.reversed());
        rest.forEach(candidate -> order.add(candidate.job()));
        return order;
    }

    private Candidate candidate(JobDemand job, Lateness lateness) {
        long end = lateness == Lateness.ON_TIME ? job.dueEpochMillis() : job.expiryEpochMillis();
        double density = job.valueDensity() * (job.begun() ? 1 : chanceToEndBy(job, end));
        return new Candidate(job, end, density);
    }

    /** Returns the chance that a job which begins now ends by a time, for estimates that are off by up to half. */
    private double chanceToEndBy(JobDemand job, long endEpochMillis) {
        double slack = (double) endEpochMillis - epochMillis - job.criticalPathMillis();
        double needed = ESTIMATE_ERROR * job.criticalPathMillis();
        return slack >= needed ? 1 : Math.max(0, slack / needed);
    }

    /** Returns the candidates, sorted by their ends, that can end in time. Adds the others to the rest. */
    private PriorityQueue<Candidate> select(List<Candidate> candidates, double aheadOfAll, List<Candidate> rest) {
        PriorityQueue<Candidate> selected = new PriorityQueue<>(LEAST_LOSS);
        double work = aheadOfAll;
        for (Candidate candidate : candidates) {
            selected.add(candidate);
            work += candidate.job().remainingCoreMillis();
            double until = roomUntil(candidate.endEpochMillis());
            while (work > until && !selected.isEmpty()) {
                Candidate removed = selected.remove();
                work -= removed.job().remainingCoreMillis();
                rest.add(removed);
            }
        }
        return selected;
    }

    /**
     * Returns the jobs that have waited until half of their useful time is left and that get a share of the capacity,
     * those that have waited longest first. Jobs that have begun through this share keep counting against it.
     */
    private List<JobDemand> longWaits(List<JobDemand> level) {
        List<JobDemand> waits = new ArrayList<>();
        for (JobDemand job : level) {
            if (waitsLong(job)) {
                waits.add(job);
            }
        }
        waits.sort(Comparator.comparing(JobDemand::begun).reversed().thenComparingLong(JobDemand::acceptedEpochMillis));
        List<JobDemand> served = new ArrayList<>();
        double work = 0;
        for (JobDemand job : waits) {
            work += job.remainingCoreMillis();
            if (!served.isEmpty() && work > LONG_WAIT_SHARE * roomUntil(job.expiryEpochMillis())) {
                break;
            }
            served.add(job);
        }
        return served;
    }

    private boolean waitsLong(JobDemand job) {
        long usefulMillis = job.expiryEpochMillis() - job.acceptedEpochMillis();
        return epochMillis - job.acceptedEpochMillis() >= usefulMillis / 2
                && epochMillis + job.criticalPathMillis() <= job.expiryEpochMillis();
    }

    private double roomUntil(long untilEpochMillis) {
        return room.coreMillis(untilEpochMillis - epochMillis);
    }

    /**
     * A job that may be selected.
     *
     * @param job the job
     * @param endEpochMillis when the job has to end, in wall-clock milliseconds
     * @param density the value that is lost per core-millisecond if the job is not selected
     */
    private record Candidate(JobDemand job, long endEpochMillis, double density) {}
}
