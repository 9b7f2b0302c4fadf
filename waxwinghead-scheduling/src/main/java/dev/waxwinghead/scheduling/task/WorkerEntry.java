package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The state of one worker, as known to the scheduler of the current term. */
final class WorkerEntry {
    private final Map<TaskId, MissingAttempt> missingAttempts = new HashMap<>();
    private final Map<TaskId, Long> runningSinceNanos = new HashMap<>();
    private WorkerDescription description;
    private long incarnation;
    private long sequence;
    private long lastPollNanos;
    private long leasesExpireNanos;
    private boolean leaseGranted;
    private boolean confirmsTerm;
    private boolean hasConfirmedTerm;
    private boolean leaving;
    private boolean lost;

    WorkerEntry(PollReport first, long now) {
        update(first, now);
    }

    /** Returns whether a newer poll was received before this one. */
    boolean isStale(PollReport report) {
        if (report.incarnation() != incarnation) {
            return report.incarnation() < incarnation;
        }
        return report.sequence() != 0 && report.sequence() <= sequence;
    }

    void update(PollReport report, long now) {
        if (report.incarnation() != incarnation) {
            missingAttempts.clear();
            runningSinceNanos.clear();
            hasConfirmedTerm = false;
        }
        description = report.worker();
        incarnation = report.incarnation();
        sequence = report.sequence();
        leaving = report.leaving();
        lastPollNanos = now;
        lost = false;
    }

    WorkerDescription description() {
        return description;
    }

    long incarnation() {
        return incarnation;
    }

    boolean numbersPolls() {
        return sequence != 0;
    }

    long lastPollNanos() {
        return lastPollNanos;
    }

    /** Returns whether the latest poll confirmed the current term; false once the worker is lost. */
    boolean confirmsTerm() {
        return confirmsTerm;
    }

    void confirmsTerm(boolean next) {
        confirmsTerm = next;
        hasConfirmedTerm |= next;
    }

    /** Returns whether this incarnation has ever confirmed the current term, and so accepts no earlier term. */
    boolean hasConfirmedTerm() {
        return hasConfirmedTerm;
    }

    boolean leaving() {
        return leaving;
    }

    boolean lost() {
        return lost;
    }

    void markLost() {
        lost = true;
        confirmsTerm = false;
    }

    void grantLease(long untilNanos) {
        leaseGranted = true;
        leasesExpireNanos = untilNanos;
    }

    /** Returns when all leases have certainly expired that this scheduler granted to the worker, in nanoseconds. */
    long leasesExpireNanos() {
        return leasesExpireNanos;
    }

    /** Returns whether all leases that this scheduler granted to the worker have certainly expired. */
    boolean leasesExpired(long now) {
        return !leaseGranted || now - leasesExpireNanos >= 0;
    }

    /** Counts a poll that does not report an attempt, and returns whether the worker certainly does not run it. */
    boolean confirmMissing(TaskId task, long now, long windowNanos) {
        MissingAttempt seen = missingAttempts.computeIfAbsent(task, key -> new MissingAttempt(now));
        seen.polls++;
        return numbersPolls() || (seen.polls >= MissingAttempt.MIN_POLLS && now - seen.sinceNanos >= windowNanos);
    }

    /** Returns how long a task has been reported as running, in nanoseconds since the first call. */
    long observedRunNanos(TaskId task, long now) {
        return now - runningSinceNanos.computeIfAbsent(task, key -> now);
    }

    /** Discards the run times of tasks that are no longer committed on the worker. */
    void retainTasks(Set<TaskId> tasks) {
        runningSinceNanos.keySet().retainAll(tasks);
    }

    void markListed(TaskId task) {
        missingAttempts.remove(task);
    }

    private static final class MissingAttempt {
        private static final int MIN_POLLS = 3;

        private final long sinceNanos;
        private int polls;

        MissingAttempt(long sinceNanos) {
            this.sinceNanos = sinceNanos;
        }
    }
}
