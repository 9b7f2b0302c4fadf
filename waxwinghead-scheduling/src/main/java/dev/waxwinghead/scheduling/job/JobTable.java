package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds all jobs and applies commands to them. The table is a deterministic state machine: the same commands in the
 * same order result in the same table.
 *
 * <p>Callers synchronize on the table while they use it or any object that it returned.
 *
 * @since 0.2
 */
public final class JobTable {
    /**
     * The number of workers that may crash under a task before its job fails. Crashes of workers that lost other tasks
     * may coincide once or twice with a start of a harmless task.
     */
    static final int MAX_CRASHES = 3;

    private final Map<JobId, JobRecord> jobs = new LinkedHashMap<>();
    private final Set<JobId> active = new LinkedHashSet<>();
    private final Set<JobId> canceledBeforeArrival = new LinkedHashSet<>();
    private final Map<WorkerIncarnation, Set<RunKey>> runs = new HashMap<>();
    /** The number of the latest change of the runs on each worker with runs; no two changes have the same number. */
    private final Map<WorkerIncarnation, Long> runChanges = new HashMap<>();

    /** The silent workers, each with the number of the silence; no two silences have the same number. */
    private final Map<WorkerIncarnation, Long> silences = new LinkedHashMap<>();

    private final Map<JobClassName, Integer> queued = new HashMap<>();
    /** Ordered, so that equal sets have equal snapshots. */
    private final Set<DataCentreId> drainedDataCentres = new TreeSet<>();
    /** The index of the latest drain or undrain of each data centre, also if it changed nothing. */
    private final Map<DataCentreId, Long> latestDrainCommands = new TreeMap<>();

    private long epoch;
    private long lastRunChange;
    private long lastSilence;

    private JobTable() {}

    /**
     * Returns an empty table.
     *
     * @return the table, never null
     */
    public static JobTable create() {
        return new JobTable();
    }

    /**
     * Applies a command.
     *
     * @param index the command's position in the log
     * @param command the command
     * @return the outcome of the command, never null
     */
    public JobOutcome apply(long index, JobCommand command) {
        if (command instanceof JobCommand.Acquire) {
            epoch = index;
            return JobOutcome.APPLIED;
        }
        if (command instanceof JobCommand.Accept accept) {
            return accept(accept);
        }
        if (command instanceof JobCommand.Cancel cancel) {
            return cancel(cancel.job());
        }
        if (command instanceof JobCommand.InEpoch guarded) {
            return guarded.epoch() == epoch ? apply(index, guarded.command()) : JobOutcome.STALE_EPOCH;
        }
        if (command instanceof JobCommand.Drain drain) {
            return setDrained(index, drain.dataCentre(), drain.latestKnown(), true);
        }
        if (command instanceof JobCommand.Undrain undrain) {
            return setDrained(index, undrain.dataCentre(), undrain.latestKnown(), false);
        }
        return advance((JobCommand.Advance) command);
    }

    /**
     * Returns the epoch of the acting scheduler.
     *
     * @return the epoch, 0 before the first scheduler
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the job with the given id.
     *
     * @param id the id of the job
     * @return the job, empty if it is not known
     */
    public Optional<JobRecord> find(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns all jobs, in the order of their acceptance.
     *
     * @return the jobs; a live view
     */
    public Collection<JobRecord> all() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * Returns the ids of the jobs that have not ended.
     *
     * @return the ids; a live view
     */
    public Set<JobId> active() {
        return Collections.unmodifiableSet(active);
    }

    /**
     * Returns the jobs that were canceled before they were accepted.
     *
     * @return the ids; a live view
     */
    public Set<JobId> canceledBeforeArrival() {
        return Collections.unmodifiableSet(canceledBeforeArrival);
    }

    /**
     * Returns the drained data centres, on whose workers no task may start.
     *
     * @return the data centres in the order of their ids; a live view
     * @since 0.3
     */
    public Set<DataCentreId> drainedDataCentres() {
        return Collections.unmodifiableSet(drainedDataCentres);
    }

    /**
     * Returns the latest command that drained or undrained a data centre, also if it changed nothing.
     *
     * @param dataCentre the data centre
     * @return the index of the command in the log, 0 if there was none
     * @since 0.3
     */
    public long latestDrainCommand(DataCentreId dataCentre) {
        return latestDrainCommands.getOrDefault(dataCentre, 0L);
    }

    /**
     * Returns the latest command that drained or undrained each data centre.
     *
     * @return the indexes in the order of the data centres' ids; a live view
     * @since 0.3
     */
    public Map<DataCentreId, Long> latestDrainCommands() {
        return Collections.unmodifiableMap(latestDrainCommands);
    }

    /**
     * Returns the runs that may be running on a worker.
     *
     * @param worker the worker's incarnation
     * @return the runs; a live view
     */
    public Set<RunKey> runsOn(WorkerIncarnation worker) {
        return Collections.unmodifiableSet(runs.getOrDefault(worker, Set.of()));
    }

    /**
     * Returns the workers on which runs may be running.
     *
     * @return the workers; a live view
     */
    public Set<WorkerIncarnation> busyWorkers() {
        return Collections.unmodifiableSet(runs.keySet());
    }

    /**
     * Returns whether a run may be running on a worker.
     *
     * @param worker the worker's incarnation
     * @param run the run
     * @return true from the start of the run until its end is applied
     */
    public boolean isLive(WorkerIncarnation worker, RunKey run) {
        Set<RunKey> workerRuns = runs.get(worker);
        return workerRuns != null && workerRuns.contains(run);
    }

    /**
     * Returns the silent workers with live runs, whose leases no scheduler extends, see {@link JobTransition.Silent}.
     *
     * @return the number of the current silence of each worker, which no other silence has; a live view
     * @since 0.3
     */
    public Map<WorkerIncarnation, Long> silences() {
        return Collections.unmodifiableMap(silences);
    }

    /**
     * Returns a number that changes whenever the runs on a worker or the records of their tasks change.
     *
     * @param worker the worker's incarnation
     * @return the number of the latest change, 0 while the worker has no runs
     */
    long runChange(WorkerIncarnation worker) {
        return runChanges.getOrDefault(worker, 0L);
    }

    /**
     * Returns the number of accepted jobs of a class that have not begun and have no start time.
     *
     * @param jobClass the class
     * @return the number of jobs, 0 or more
     */
    public int queued(JobClassName jobClass) {
        return queued.getOrDefault(jobClass, 0);
    }

    private JobOutcome setDrained(long index, DataCentreId dataCentre, long latestKnown, boolean drained) {
        if (latestDrainCommand(dataCentre) > latestKnown) {
            return JobOutcome.SUPERSEDED;
        }
        latestDrainCommands.put(dataCentre, index);
        boolean changed = drained ? drainedDataCentres.add(dataCentre) : drainedDataCentres.remove(dataCentre);
        return changed ? JobOutcome.APPLIED : JobOutcome.REPEATED;
    }

    private JobOutcome accept(JobCommand.Accept accept) {
        JobId id = accept.submission().id();
        if (jobs.containsKey(id)) {
            return JobOutcome.REPEATED;
        }
        boolean canceled = canceledBeforeArrival.remove(id);
        JobState state = canceled ? JobState.CANCELED : JobState.QUEUED;
        add(new JobRecord(accept.submission(), accept.terms(), accept.acceptedEpochMillis(), state));
        return JobOutcome.APPLIED;
    }

    private JobOutcome cancel(JobId id) {
        JobRecord job = jobs.get(id);
        if (job == null) {
            canceledBeforeArrival.add(id);
            return JobOutcome.UNKNOWN_JOB;
        }
        if (job.state().ended()) {
            return JobOutcome.REPEATED;
        }
        changeState(job, JobState.CANCELED);
        return JobOutcome.APPLIED;
    }

    private JobOutcome advance(JobCommand.Advance advance) {
        if (advance.epoch() != epoch) {
            return JobOutcome.STALE_EPOCH;
        }
        for (JobTransition transition : advance.transitions()) {
            if (transition instanceof JobTransition.Started started) {
                start(started);
            } else if (transition instanceof JobTransition.Ended ended) {
                end(ended);
            } else if (transition instanceof JobTransition.Begun begun) {
                find(begun.job()).ifPresent(this::begin);
            } else if (transition instanceof JobTransition.Silent silent) {
                recordSilence(silent.worker());
            } else if (transition instanceof JobTransition.Returned returned) {
                silences.remove(returned.worker());
            } else if (transition instanceof JobTransition.Removed removed) {
                forget(removed.job());
            }
        }
        return JobOutcome.APPLIED;
    }

    private void recordSilence(WorkerIncarnation worker) {
        if (runs.containsKey(worker)) {
            silences.putIfAbsent(worker, ++lastSilence);
        }
    }

    private void start(JobTransition.Started started) {
        TaskKey key = started.run().task();
        JobRecord job = jobs.get(key.job());
        if (job == null || job.state().ended() || !job.contains(key) || !job.ready(key.occurrence(), key.step())) {
            return;
        }
        StepRecord step = job.step(key);
        TaskRecord task = job.task(key);
        boolean mayAddRun = task.liveRuns().isEmpty() || step.step().speculative();
        int attempt = started.run().attempt();
        boolean nextAttempt = step.step().gang() ? attempt > task.attempts() : attempt == task.attempts() + 1;
        if (step.finished(task) || !mayAddRun || !nextAttempt) {
            return;
        }
        step.start(task, attempt, started.worker());
        runs.computeIfAbsent(started.worker(), worker -> new HashSet<>()).add(started.run());
        recordRunChange(started.worker());
        if (job.state() == JobState.QUEUED) {
            changeState(job, JobState.RUNNING);
        }
    }

    private void end(JobTransition.Ended ended) {
        TaskKey key = ended.run().task();
        JobRecord job = jobs.get(key.job());
        if (job == null || !job.contains(key)) {
            return;
        }
        TaskRecord task = job.task(key);
        Optional<TaskRecord.LiveRun> run = task.find(ended.run().attempt());
        if (run.isEmpty()) {
            return;
        }
        if (provesStart(ended.end())) {
            begin(job);
        }
        StepRecord step = job.step(key);
        step.end(task, run.get(), ended.end(), ended.checkpoint(), ended.recency());
        removeRun(run.get().worker(), ended.run());
        task.liveRuns().forEach(other -> recordRunChange(other.worker()));
        if (ended.end() == RunEnd.COMPLETED && step.step().gang()) {
            completeGang(key, step);
        }
        if (!job.state().ended()) {
            updateJobState(job, step, task);
        }
    }

    /** Returns whether only a run that its worker has started can end so. */
    private static boolean provesStart(RunEnd end) {
        return end == RunEnd.COMPLETED || end == RunEnd.FAILED || end == RunEnd.INTERRUPTED_AFTER_START;
    }

    private void begin(JobRecord job) {
        countQueued(job, -1);
        job.begin();
        countQueued(job, 1);
    }

    /** Completes all members of a gang: they complete together, so the first reported completion applies to all. */
    private void completeGang(TaskKey key, StepRecord step) {
        for (int index = 0; index < step.tasks().size(); index++) {
            TaskKey member = new TaskKey(key.job(), key.occurrence(), key.step(), index);
            for (TaskRecord.LiveRun run : step.tasks().get(index).liveRuns()) {
                removeRun(run.worker(), new RunKey(member, run.attempt()));
            }
        }
        step.completeGang();
    }

    private void updateJobState(JobRecord job, StepRecord step, TaskRecord task) {
        boolean exhausted = !step.step().lasting()
                && !task.completed()
                && task.failures() >= job.terms().attempts();
        if (exhausted || task.crashes() >= MAX_CRASHES) {
            changeState(job, JobState.FAILED);
        } else if (step.completed() && job.allCompleted()) {
            changeState(job, JobState.DONE);
        }
    }

    private void forget(JobId id) {
        JobRecord job = jobs.get(id);
        if (job != null && job.state().ended() && job.liveRuns() == 0) {
            jobs.remove(id);
        }
        canceledBeforeArrival.remove(id);
    }

    private void removeRun(WorkerIncarnation worker, RunKey run) {
        Set<RunKey> workerRuns = runs.get(worker);
        if (workerRuns != null) {
            workerRuns.remove(run);
            recordRunChange(worker);
            if (workerRuns.isEmpty()) {
                runs.remove(worker);
                runChanges.remove(worker);
                silences.remove(worker);
            }
        }
    }

    private void recordRunChange(WorkerIncarnation worker) {
        runChanges.put(worker, ++lastRunChange);
    }

    private void changeState(JobRecord job, JobState next) {
        countQueued(job, -1);
        job.state(next);
        countQueued(job, 1);
        if (next.ended()) {
            active.remove(job.id());
        }
    }

    private void countQueued(JobRecord job, int change) {
        if (job.visibleState() == JobState.QUEUED && job.submission().schedule().startEpochMillis() == 0) {
            queued.merge(job.terms().jobClass(), change, Integer::sum);
        }
    }

    private void add(JobRecord job) {
        jobs.put(job.id(), job);
        countQueued(job, 1);
        if (!job.state().ended()) {
            active.add(job.id());
        }
    }

    /** Clears the table before it is restored. */
    public void clear() {
        jobs.clear();
        active.clear();
        canceledBeforeArrival.clear();
        runs.clear();
        runChanges.clear();
        silences.clear();
        queued.clear();
        drainedDataCentres.clear();
        latestDrainCommands.clear();
        epoch = 0;
    }

    /**
     * Restores the epoch and the jobs that were canceled before they were accepted.
     *
     * @param restoredEpoch the epoch
     * @param canceled the canceled jobs
     */
    public void restore(long restoredEpoch, Collection<JobId> canceled) {
        epoch = restoredEpoch;
        canceledBeforeArrival.addAll(canceled);
    }

    /**
     * Adds a job to a table that is being restored.
     *
     * @param job the command that accepted the job
     * @param state the state of the job
     * @param tasks the tasks that have ever been started
     */
    public void restore(JobCommand.Accept job, JobState state, Collection<RestoredTask> tasks) {
        JobRecord record = new JobRecord(job.submission(), job.terms(), job.acceptedEpochMillis(), state);
        for (RestoredTask restored : tasks) {
            TaskRecord task = record.task(restored.key());
            task.restore(restored.attempts(), restored.failures(), restored.completed(), restored.checkpoint());
            for (TaskRecord.LiveRun run : restored.liveRuns()) {
                task.liveRuns().add(run);
                runs.computeIfAbsent(run.worker(), worker -> new HashSet<>())
                        .add(new RunKey(restored.key(), run.attempt()));
                recordRunChange(run.worker());
            }
        }
        record.occurrences().forEach(steps -> steps.forEach(StepRecord::restore));
        if (!state.ended() && record.allCompleted()) {
            record.state(JobState.DONE);
        }
        if (state != JobState.QUEUED) {
            record.begin();
        }
        add(record);
    }

    /**
     * Restores that a job has not begun, although runs of it have been assigned to workers.
     *
     * @param id the id of a restored job
     * @since 0.3
     */
    public void restoreNotBegun(JobId id) {
        JobRecord job = jobs.get(id);
        countQueued(job, -1);
        job.restoreNotBegun();
        countQueued(job, 1);
    }

    /**
     * Restores how many workers crashed under a task of a restored job.
     *
     * @param task the task
     * @param crashes the number of workers
     * @since 0.3
     */
    public void restoreCrashes(TaskKey task, int crashes) {
        TaskRecord restored = jobs.get(task.job()).task(task);
        restored.restoreCrashes(crashes);
        restored.liveRuns().forEach(run -> recordRunChange(run.worker()));
    }

    /**
     * Restores the current attempt of a gang of a restored job.
     *
     * @param member a task of the gang
     * @param startCheckpoint the checkpoint that the members of the attempt start from
     * @param recency the rank of the gang's latest checkpoint
     * @since 0.3
     */
    public void restoreGangAttempt(TaskKey member, String startCheckpoint, int recency) {
        jobs.get(member.job()).step(member).restoreGangAttempt(startCheckpoint, recency);
    }

    /**
     * Restores that a worker is silent.
     *
     * @param worker the incarnation of a worker with restored live runs
     * @since 0.3
     */
    public void restoreSilence(WorkerIncarnation worker) {
        recordSilence(worker);
    }

    /**
     * Restores that a data centre is drained.
     *
     * @param dataCentre the data centre
     * @since 0.3
     */
    public void restoreDrained(DataCentreId dataCentre) {
        drainedDataCentres.add(dataCentre);
    }

    /**
     * Restores the latest command that drained or undrained a data centre.
     *
     * @param dataCentre the data centre
     * @param index the index of the command in the log
     * @since 0.3
     */
    public void restoreLatestDrainCommand(DataCentreId dataCentre, long index) {
        latestDrainCommands.put(dataCentre, index);
    }

    /**
     * Holds a task of a table that is being restored.
     *
     * @param key the key of the task
     * @param attempts the number of runs started
     * @param failures the number of runs that failed
     * @param completed whether a run completed
     * @param checkpoint the latest checkpoint, empty if there is none
     * @param liveRuns the runs that may be running
     */
    public record RestoredTask(
            TaskKey key,
            int attempts,
            int failures,
            boolean completed,
            String checkpoint,
            List<TaskRecord.LiveRun> liveRuns) {}
}
