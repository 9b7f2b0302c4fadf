package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Holds what the scheduler knows of one life of a worker. */
final class WorkerEntry {
    private final WorkerLife life;
    private final Map<RunKey, RunObservation> observations = new HashMap<>();
    private final Map<RunKey, WorkerReport.EndedRun> ends = new LinkedHashMap<>();
    private final Set<RunKey> stopping = new HashSet<>();
    private WorkerReport report;
    private long heardNanos;
    private long leaseEndNanos;
    private long goneNanos = Long.MAX_VALUE;
    private long learnedNanos;
    private long relievedNanos;
    private long refusedUntilNanos = Long.MIN_VALUE;

    WorkerEntry(WorkerReport report, long now) {
        this.life = report.life();
        this.report = report;
        this.heardNanos = now;
        this.leaseEndNanos = now;
        this.learnedNanos = now;
        this.relievedNanos = now;
    }

    WorkerLife life() {
        return life;
    }

    WorkerId id() {
        return life.worker();
    }

    WorkerReport report() {
        return report;
    }

    /** Takes a newer report in. */
    void update(WorkerReport next, long now) {
        report = next;
        heardNanos = now;
        Map<RunKey, RunObservation> before = new HashMap<>(observations);
        observations.clear();
        for (WorkerReport.RunningTask task : next.running()) {
            RunObservation known = before.get(task.run());
            if (known == null) {
                observations.put(task.run(), new RunObservation(task, now));
            } else {
                known.update(task, now);
                observations.put(task.run(), known);
            }
        }
        for (WorkerReport.EndedRun ended : next.ended()) {
            ends.putIfAbsent(ended.run(), ended);
        }
    }

    Map<RunKey, RunObservation> observations() {
        return observations;
    }

    /** Returns the ends that are heard of and not yet applied to the table. */
    Map<RunKey, WorkerReport.EndedRun> ends() {
        return ends;
    }

    Set<RunKey> stopping() {
        return stopping;
    }

    void extendLease(long untilNanos) {
        leaseEndNanos = Math.max(leaseEndNanos, untilNanos);
    }

    /** Notes that the worker's process ends now or has ended, and when nothing can run there any more. */
    void gone(long fromNanos) {
        goneNanos = Math.min(goneNanos, fromNanos);
    }

    /** Tells whether nothing can be running there any more. */
    boolean lost(long now) {
        return now - leaseEndNanos >= 0 || (goneNanos != Long.MAX_VALUE && now - goneNanos >= 0);
    }

    boolean isGone() {
        return goneNanos != Long.MAX_VALUE;
    }

    boolean silent(long now, long boundNanos) {
        return now - heardNanos > boundNanos;
    }

    /** Tells whether the last gauges were learned from long enough ago, and if so counts these as learned from. */
    boolean learnDue(long now, long intervalNanos) {
        boolean due = now - learnedNanos >= intervalNanos;
        if (due) {
            learnedNanos = now;
        }
        return due;
    }

    boolean reliefDue(long now, long intervalNanos) {
        return now - relievedNanos >= intervalNanos;
    }

    void relieved(long now) {
        relievedNanos = now;
    }

    void refused(long untilNanos) {
        refusedUntilNanos = untilNanos;
    }

    boolean refusing(long now) {
        return refusedUntilNanos != Long.MIN_VALUE && now - refusedUntilNanos < 0;
    }
}
