package dev.waxwinghead.scheduling.overload;

import dev.waxwinghead.model.id.JobId;
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
     * The share of the capacity for jobs that have waited for longer than half of their useful time. They are late, so
     * a larger share makes more jobs late than it serves.
     */
    private static final double LONG_WAIT_SHARE = 0.02;

    /** The error of callers' estimates, as a share of the estimate, that a job which begins now is to withstand. */
    private static final double ESTIMATE_ERROR = 0.5;

    /** The job to remove first: the least expected value per work, the shortest wait in case of a tie. */
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
        Set<JobId> chosen = new HashSet<>();
        double work = aheadCoreMillis;
        for (JobDemand job : order) {
            chosen.add(job.id());
            work += job.remainingCoreMillis();
        }
        List<Candidate> onTime = new ArrayList<>(level.size());
        List<Candidate> late = new ArrayList<>();
        for (JobDemand job : level) {
            Lateness lateness = job.lateness(epochMillis);
            if (lateness == Lateness.EXPIRED) {
                expired.add(job);
            } else if (chosen.isEmpty() || !chosen.contains(job.id())) {
                (lateness == Lateness.ON_TIME ? onTime : late).add(candidate(job));
            }
        }
        List<Candidate> removed = new ArrayList<>();
        select(onTime, work, removed).stream()
                .map(Candidate::job)
                .sorted(DUE_TIME)
                .forEach(order::add);
        for (List<Candidate> rest : List.of(removed, late)) {
            rest.sort(LEAST_LOSS.reversed());
            rest.forEach(each -> order.add(each.job()));
        }
        return order;
    }

    /** Returns those of the jobs, sorted by due time, that can end in time. Adds the others to a list. */
    private PriorityQueue<Candidate> select(List<Candidate> onTime, double aheadOfAll, List<Candidate> removed) {
        PriorityQueue<Candidate> selected = new PriorityQueue<>(LEAST_LOSS);
        double work = aheadOfAll;
        for (Candidate candidate : onTime) {
            JobDemand job = candidate.job();
            long latestStart = latestStartEpochMillis(job);
            if (latestStart < epochMillis) {
                removed.add(candidate);
                continue;
            }
            selected.add(candidate);
            double ahead = work;
            work += job.remainingCoreMillis();
            while (!selected.isEmpty() && (work > roomUntil(job.dueEpochMillis()) || ahead > roomUntil(latestStart))) {
                Candidate least = selected.remove();
                work -= least.job().remainingCoreMillis();
                removed.add(least);
                if (least.equals(candidate)) {
                    break;
                }
                ahead -= least.job().remainingCoreMillis();
            }
        }
        return selected;
    }

    /**
     * Returns a job with its value per core-millisecond times the chance that the job ends in time. For a job that has
     * not begun, this is the share of its slack that is left: a job that begins on its last slack ends late whenever
     * its estimate is too low. Without the chance, 0.39 in place of 0.56 of the jobs ended in time at twice the
     * capacity, see docs/design/overload.md.
     */
    private Candidate candidate(JobDemand job) {
        double slack = job.dueEpochMillis() - job.criticalPathMillis() - (double) epochMillis;
        double initialSlack = job.dueEpochMillis() - job.criticalPathMillis() - (double) job.acceptedEpochMillis();
        double chance = job.begun() ? 1 : Math.max(0, Math.min(1, slack / Math.max(1, initialSlack)));
        return new Candidate(job, job.valueDensity() * chance);
    }

    /** Returns the latest time at which a job may start, which for a job not begun withstands a wrong estimate. */
    private static long latestStartEpochMillis(JobDemand job) {
        double error = job.begun() ? 0 : ESTIMATE_ERROR;
        return job.dueEpochMillis() - Math.round((1 + error) * job.criticalPathMillis());
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
            work += job.totalCoreMillis();
            if (!served.isEmpty() && work > LONG_WAIT_SHARE * room.offeredCoreMillis(job.criticalPathMillis())) {
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
     * @param density the expected value that is lost per core-millisecond if the job is not selected
     */
    private record Candidate(JobDemand job, double density) {}
}
