package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Holds what a scheduler has heard from one worker in its own term. */
final class WorkerEntry {
    private final Map<TaskId, Missing> missing = new HashMap<>();
    private final Map<TaskId, Long> runningSinceNanos = new HashMap<>();
    private WorkerDescription description;
    private long incarnation;
    private long sequence;
    private long lastPollNanos;
    private long grantedUntilNanos;
    private boolean granted;
    private boolean heard;
    private boolean obeys;
    private boolean leaving;
    private boolean lost;

    WorkerEntry(PollReport first, long now) {
        update(first, now);
    }

    /** Tells whether a newer poll was seen before this one. */
    boolean overtaken(PollReport report) {
        if (report.incarnation() != incarnation) {
            return report.incarnation() < incarnation;
        }
        return report.sequence() != 0 && report.sequence() <= sequence;
    }

    void update(PollReport report, long now) {
        if (report.incarnation() != incarnation) {
            missing.clear();
            runningSinceNanos.clear();
            obeys = false;
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

    boolean numbered() {
        return sequence != 0;
    }

    long lastPollNanos() {
        return lastPollNanos;
    }

    boolean heard() {
        return heard;
    }

    void heard(boolean next) {
        heard = next;
        obeys |= next;
    }

    /** Tells whether this incarnation has said that it obeys this term, and so no earlier one. */
    boolean obeys() {
        return obeys;
    }

    boolean leaving() {
        return leaving;
    }

    boolean lost() {
        return lost;
    }

    void markLost() {
        lost = true;
        heard = false;
    }

    void grant(long untilNanos) {
        granted = true;
        grantedUntilNanos = untilNanos;
    }

    /** Tells whether every lease that this scheduler granted has surely run out. */
    boolean grantsRanOut(long now) {
        return !granted || now - grantedUntilNanos >= 0;
    }

    /** Counts a poll that does not list an attempt, and tells whether the worker has surely not got it. */
    boolean surelyMissing(TaskId task, long now, long windowNanos) {
        Missing seen = missing.computeIfAbsent(task, key -> new Missing(now));
        seen.polls++;
        return numbered() || (seen.polls >= Missing.LEAST_POLLS && now - seen.sinceNanos >= windowNanos);
    }

    /** Returns for how long a task has been listed as running, counted from the first call. */
    long ranFor(TaskId task, long now) {
        return now - runningSinceNanos.computeIfAbsent(task, key -> now);
    }

    /** Forgets the tasks that are not held any more. */
    void retain(Set<TaskId> tasks) {
        runningSinceNanos.keySet().retainAll(tasks);
    }

    void listed(TaskId task) {
        missing.remove(task);
    }

    private static final class Missing {
        private static final int LEAST_POLLS = 3;

        private final long sinceNanos;
        private int polls;

        Missing(long sinceNanos) {
            this.sinceNanos = sinceNanos;
        }
    }
}
