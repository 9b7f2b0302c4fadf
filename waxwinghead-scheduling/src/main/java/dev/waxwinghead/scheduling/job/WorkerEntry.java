package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Holds what the scheduler knows about one incarnation of a worker. */
final class WorkerEntry {
    /** How long a worker must list a run before the start of the run counts as survived; covers several reports. */
    private static final long PROVING_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long NO_SEQUENCE = Long.MIN_VALUE;

    private final WorkerIncarnation incarnation;
    private final Map<RunKey, RunObservation> observations = new HashMap<>();
    private final Map<RunKey, WorkerReport.EndedRun> ends = new LinkedHashMap<>();
    private final Set<RunKey> stopping = new HashSet<>();
    private final Map<RunKey, Long> startsSent = new HashMap<>();
    private final Set<RunKey> withdrawn = new HashSet<>();
    private final UnlistedRuns unlisted = new UnlistedRuns();
    private WorkerReport report;
    private long firstOwnSequence = NO_SEQUENCE;
    private long reportedNanos;
    private long coldUntilNanos;
    private long leaseEndNanos;
    private long learnedNanos;
    private long evictedNanos;
    private long refusedUntilNanos = Long.MIN_VALUE;
    private boolean exitAnnounced;
    private boolean replaced;
    private boolean crashed;
    private boolean awaitsAnswer;
    private boolean hasRoom = true;
    private WorkerCapacity keptCapacity;
    private long keptRunChange;

    WorkerEntry(WorkerReport report, long now) {
        this.incarnation = report.incarnation();
        this.report = report;
        this.reportedNanos = now;
        this.leaseEndNanos = now;
        this.learnedNanos = now;
        this.evictedNanos = now;
    }

    WorkerIncarnation incarnation() {
        return incarnation;
    }

    WorkerId id() {
        return incarnation.worker();
    }

    WorkerReport report() {
        return report;
    }

    /** Updates the entry with a newer report. */
    void update(WorkerReport next, long now) {
        report = next;
        reportedNanos = now;
        coldUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(next.coldLeftMillis());
        keptCapacity = null;
        awaitsAnswer = false;
        Map<RunKey, RunObservation> previous = new HashMap<>(observations);
        observations.clear();
        for (WorkerReport.RunningTask task : next.running()) {
            RunObservation known = previous.get(task.run());
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

    /** Returns whether the worker has listed a run since before a time. */
    boolean hasListed(RunKey run, long beforeNanos) {
        RunObservation observation = observations.get(run);
        return observation != null && observation.firstListedNanos() - beforeNanos < 0;
    }

    /** Returns whether a run that its worker listed last was running for so long that its start cannot crash it. */
    boolean hasSurvivedStart(RunKey run) {
        return hasListed(run, reportedNanos - PROVING_NANOS);
    }

    /** Records that the answer to the latest report contains the start of a run. */
    void startSent(RunKey run) {
        startsSent.put(run, report.sequence());
    }

    /** Returns whether the start of a run was sent in an answer of this scheduler. */
    boolean wasStartSent(RunKey run) {
        return startsSent.containsKey(run);
    }

    /**
     * Records that the start of a run that the worker has not listed is not sent any more. It stays so after an
     * undrain, since the worker has been told to refuse the run.
     */
    void withdraw(RunKey run) {
        withdrawn.add(run);
    }

    /**
     * Returns whether a run whose start was withdrawn will never run on the worker, so that its task may run elsewhere.
     *
     * <p>A start that was sent may be on its way in an answer, so such a run must also be overdue in the reports. A
     * start that was never sent needs no such time.
     *
     * @param inherited whether the run was started by an earlier scheduler, which may have sent the start
     */
    boolean withdrawalIsFinal(RunKey run, boolean inherited) {
        boolean maySoonBeListed = inherited || startsSent.containsKey(run);
        return withdrawn.contains(run) && neverStarts(run, inherited) && (!maySoonBeListed || overdue(run));
    }

    /** Discards what was recorded for runs that have ended. */
    void retainRuns(Set<RunKey> live) {
        withdrawn.retainAll(live);
        stopping.retainAll(live);
        startsSent.keySet().retainAll(live);
    }

    /**
     * Returns whether a run that is to stop will never run on the worker: its latest report does not list the run and
     * is newer than each report whose answer may have started it. A worker sends a report only once the answer to the
     * one before has arrived or is too late to be obeyed.
     *
     * @param inherited whether the run was started by an earlier scheduler, which may have sent the start in an answer
     *     that this scheduler does not know
     */
    boolean neverStarts(RunKey run, boolean inherited) {
        if (!stopping.contains(run) || observations.containsKey(run) || ends.containsKey(run)) {
            return false;
        }
        if (inherited && firstOwnSequence == NO_SEQUENCE) {
            return false;
        }
        long latestStart =
                Math.max(startsSent.getOrDefault(run, NO_SEQUENCE), inherited ? firstOwnSequence : NO_SEQUENCE);
        return report.sequence() > latestStart;
    }

    /** Records that answers of earlier schedulers to the worker's reports are too late to be obeyed from now on. */
    void endInheritedAnswers() {
        if (firstOwnSequence == NO_SEQUENCE) {
            firstOwnSequence = report.sequence();
        }
    }

    /** Returns how a run without a reported end ends once the worker is lost. */
    RunEnd endOnLoss(RunKey run) {
        if (hasSurvivedStart(run)) {
            return RunEnd.INTERRUPTED_AFTER_START;
        }
        return crashed && startsSent.containsKey(run) ? RunEnd.WORKER_CRASHED : RunEnd.INTERRUPTED;
    }

    /** Returns the reported ends that are not yet applied to the table. */
    Map<RunKey, WorkerReport.EndedRun> ends() {
        return ends;
    }

    Set<RunKey> stopping() {
        return stopping;
    }

    /** Returns the live runs that have become overdue in the worker's reports; each is returned once. */
    List<RunKey> newlyOverdue(Set<RunKey> live, long now) {
        return unlisted.update(live, run -> observations.containsKey(run) || ends.containsKey(run), now);
    }

    /** Returns whether a live run is overdue in the worker's reports. */
    boolean overdue(RunKey run) {
        return unlisted.overdue(run);
    }

    void extendLease(long untilNanos) {
        leaseEndNanos = Math.max(leaseEndNanos, untilNanos);
    }

    /** Returns when the lease that this scheduler has granted has certainly expired. */
    long leaseEndNanos() {
        return leaseEndNanos;
    }

    /**
     * Records that the worker has announced its exit. Its process may run on without an acknowledgement, so its runs
     * stay live until its lease has expired or another process has replaced it.
     */
    void announceExit() {
        exitAnnounced = true;
    }

    /** Records that another process has replaced the worker's, which has crashed unless it was to exit. */
    void replaced(long now) {
        crashed |= !lost(now) && !exitAnnounced && !report.leaving();
        replaced = true;
    }

    boolean crashed() {
        return crashed;
    }

    /** Returns whether nothing can be running on the worker any more. */
    boolean lost(long now) {
        return replaced || now - leaseEndNanos >= 0;
    }

    boolean exitAnnounced() {
        return exitAnnounced;
    }

    /** Returns whether the worker has just started and still runs tasks slowly, by its latest report. */
    boolean cold(long now) {
        return now - coldUntilNanos < 0;
    }

    /** Returns when the latest report arrived. */
    long reportedNanos() {
        return reportedNanos;
    }

    boolean silentFor(long now, long boundNanos) {
        return now - reportedNanos > boundNanos;
    }

    /** Returns whether a model update from the current gauges is due, and if so records it. */
    boolean learningDue(long now, long intervalNanos) {
        boolean due = now - learnedNanos >= intervalNanos;
        if (due) {
            learnedNanos = now;
        }
        return due;
    }

    boolean evictionDue(long now, long intervalNanos) {
        return now - evictedNanos >= intervalNanos;
    }

    void evicted(long now) {
        evictedNanos = now;
    }

    /** Records whether the answer to the latest report is held back. */
    void awaitsAnswer(boolean held) {
        awaitsAnswer = held;
    }

    boolean awaitsAnswer() {
        return awaitsAnswer;
    }

    /** Records whether the worker had capacity for more tasks at the end of a scheduling round. */
    void hasRoom(boolean room) {
        hasRoom = room;
    }

    boolean hasRoom() {
        return hasRoom;
    }

    /**
     * Keeps the capacity for the next rounds.
     *
     * @param capacity the capacity
     * @param runChange the number of the latest change of the worker's runs, see {@link JobTable#runChange}
     */
    void keepCapacity(WorkerCapacity capacity, long runChange) {
        keptCapacity = capacity;
        keptRunChange = runChange;
    }

    /**
     * Returns the kept capacity; empty if the worker has reported, its runs have changed, or tasks were assigned to it
     * in a round since.
     */
    Optional<WorkerCapacity> keptCapacity(long runChange) {
        return Optional.ofNullable(keptCapacity).filter(capacity -> keptRunChange == runChange && !capacity.changed());
    }

    void refused(long untilNanos) {
        refusedUntilNanos = untilNanos;
    }

    boolean refusing(long now) {
        return refusedUntilNanos != Long.MIN_VALUE && now - refusedUntilNanos < 0;
    }
}
