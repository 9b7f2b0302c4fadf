package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The replicated table of all tasks, their owners and the scheduler terms of all data centres.
 *
 * <p>The contents are determined by the sequence of applied commands. Commands must be applied by one thread at a time.
 * Any thread may read; each record is immutable and therefore consistent, but a view of several records may not be.
 *
 * @since 0.1
 */
public final class TaskTable {
    private final Map<TaskId, TaskRecord> tasks = new ConcurrentHashMap<>();
    private final Map<DataCentreId, SchedulerTerm> schedulers = new ConcurrentHashMap<>();
    private final Map<WorkerId, Long> draining = new ConcurrentHashMap<>();
    private final DrainTable drains = new DrainTable();
    private final OwnerTable owners = new OwnerTable(this);
    private volatile Consumer<TaskRecord> listener = changed -> {};
    private volatile long configurationRevision;

    private TaskTable() {}

    /**
     * Creates an empty table.
     *
     * @return the new table, never null
     */
    public static TaskTable create() {
        return new TaskTable();
    }

    /**
     * Sets the listener that is called with each changed record, on the thread that applies the command.
     *
     * @param next the listener, which must not block
     */
    public void onChange(Consumer<TaskRecord> next) {
        listener = next;
    }

    /**
     * Applies a command.
     *
     * @param index the log index of the command
     * @param command the command
     * @return whether the command was accepted, never null
     */
    public CommandResult apply(long index, TaskCommand command) {
        if (command instanceof TaskCommand.Transitions transitions) {
            return applyTransitions(transitions);
        }
        if (command instanceof TaskCommand.Reconcile reconcile) {
            return reconcile(index, reconcile);
        }
        if (command instanceof TaskCommand.SetDrained drain) {
            return drains.apply(index, drain);
        }
        if (command instanceof TaskCommand.Delegate delegate) {
            delegate.tasks().forEach(task -> delegate(task, delegate.dataCentre()));
        } else if (command instanceof TaskCommand.Restart restart) {
            restart.tasks().forEach(this::restart);
        } else if (command instanceof TaskCommand.CancelJobs cancel) {
            cancel.jobs().forEach(this::cancel);
        } else if (command instanceof TaskCommand.RecordReason explain) {
            owners.explain(explain);
        } else if (command instanceof TaskCommand.DrainWorker drain) {
            draining.merge(drain.worker(), drain.incarnation(), Math::max);
        } else {
            return changeScheduler(index, command);
        }
        return new CommandResult(true, index);
    }

    /**
     * Returns the record of a task.
     *
     * @param id the id of the task
     * @return the record, empty if there is no such task
     */
    public Optional<TaskRecord> task(TaskId id) {
        return Optional.ofNullable(tasks.get(id));
    }

    /**
     * Returns the records of all tasks.
     *
     * @return an unmodifiable live view in no particular order, never null
     */
    public Collection<TaskRecord> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /**
     * Returns the record of a service or job.
     *
     * @param key the kind and name
     * @return the record, empty if there is no such service or job
     */
    public Optional<OwnerRecord> owner(ManifestKey key) {
        return Optional.ofNullable(owners.find(key));
    }

    /**
     * Returns the records of all services and jobs.
     *
     * @return an unmodifiable live view in the order of the keys, never null
     */
    public Collection<OwnerRecord> owners() {
        return owners.all();
    }

    /**
     * Returns the scheduler term of a data centre.
     *
     * @param dataCentre the data centre
     * @return the term, empty if the data centre never had a scheduler
     */
    public Optional<SchedulerTerm> scheduler(DataCentreId dataCentre) {
        return Optional.ofNullable(schedulers.get(dataCentre));
    }

    /**
     * Returns the scheduler terms of all data centres.
     *
     * @return an unmodifiable live view, never null
     */
    public Collection<SchedulerTerm> schedulers() {
        return Collections.unmodifiableCollection(schedulers.values());
    }

    /**
     * Returns whether an incarnation of a worker is draining.
     *
     * @param worker the worker
     * @param incarnation the incarnation of the worker
     * @return true if the worker is to get no new tasks
     */
    public boolean draining(WorkerId worker, long incarnation) {
        Long newest = draining.get(worker);
        return newest != null && incarnation <= newest;
    }

    /**
     * Returns whether a data centre is drained.
     *
     * @param dataCentre the data centre
     * @return true if no task is to start there
     */
    public boolean drained(DataCentreId dataCentre) {
        return drains.contains(dataCentre);
    }

    /**
     * Returns the drained data centres.
     *
     * @return an unmodifiable live view with the log index of the command that drained each data centre, in the order
     *     of the ids; never null
     */
    public Map<DataCentreId, Long> drainedDataCentres() {
        return drains.drainedSince();
    }

    /**
     * Returns the configuration revision that the owners reflect.
     *
     * @return the revision; 0 before the first reconciliation
     */
    public long configurationRevision() {
        return configurationRevision;
    }

    /**
     * Returns the complete contents.
     *
     * @return a copy, never null
     */
    public TableContents contents() {
        return TableContents.of(
                configurationRevision,
                tasks.values(),
                owners.all(),
                schedulers.values(),
                draining,
                owners.attemptFloors(),
                owners.attemptFloor(),
                drains.drainedSince(),
                drains.changes());
    }

    /**
     * Replaces the complete contents without calling the listener.
     *
     * @param contents the new contents
     */
    public void restore(TableContents contents) {
        tasks.clear();
        contents.tasks().forEach(task -> tasks.put(task.id(), task));
        schedulers.clear();
        contents.schedulers().forEach(term -> schedulers.put(term.dataCentre(), term));
        draining.clear();
        draining.putAll(contents.draining());
        owners.restore(contents);
        drains.restore(contents);
        configurationRevision = contents.configurationRevision();
    }

    /** Stores a record and updates the task count of its owner; also called by {@link OwnerTable}. */
    void store(TaskRecord next) {
        TaskRecord before = tasks.put(next.id(), next);
        boolean wasOpen = before != null && !before.state().terminal();
        boolean isOpen = !next.state().terminal();
        listener.accept(next);
        if (wasOpen != isOpen) {
            owners.countOpen(next.owner(), isOpen ? 1 : -1);
        }
    }

    TaskRecord find(TaskId id) {
        return tasks.get(id);
    }

    void remove(TaskId id) {
        tasks.remove(id);
    }

    private CommandResult applyTransitions(TaskCommand.Transitions command) {
        SchedulerTerm acting = schedulers.get(command.dataCentre());
        if (acting == null || acting.term() != command.term()) {
            return new CommandResult(false, acting == null ? 0 : acting.term());
        }
        boolean drained = drains.contains(command.dataCentre());
        for (Transition transition : command.transitions()) {
            if (drained && transition instanceof Transition.Start) {
                continue;
            }
            TaskRecord task = tasks.get(transition.task());
            OwnerRecord owner = task == null ? null : owners.find(task.owner());
            if (owner != null) {
                TransitionRules.next(task, owner, command.dataCentre(), transition)
                        .ifPresent(this::storeAndFailOwner);
            }
        }
        return new CommandResult(true, acting.term());
    }

    private void storeAndFailOwner(TaskRecord next) {
        store(next);
        if (next.state() == TaskState.FAILED) {
            owners.fail(next);
        }
    }

    private CommandResult reconcile(long index, TaskCommand.Reconcile command) {
        if (command.base() != configurationRevision || command.revision() <= command.base()) {
            return new CommandResult(false, configurationRevision);
        }
        command.changes().forEach(owners::change);
        configurationRevision = command.revision();
        return new CommandResult(true, index);
    }

    private void delegate(TaskId id, DataCentreId dataCentre) {
        if (drains.contains(dataCentre)) {
            return;
        }
        TaskRecord task = tasks.get(id);
        if (task != null && task.state() == TaskState.WAITING && !dataCentre.equals(task.dataCentre())) {
            store(task.withDataCentre(dataCentre));
        }
    }

    private void restart(TaskId id) {
        TaskRecord task = tasks.get(id);
        if (task != null && (task.state() == TaskState.STARTING || task.state() == TaskState.RUNNING)) {
            store(task.withState(TaskState.STOPPING));
        }
    }

    private void cancel(JobName job) {
        owners.cancel(ManifestKey.of(ManifestKind.JOB, job.value()));
    }

    private CommandResult changeScheduler(long index, TaskCommand command) {
        if (command instanceof TaskCommand.Acquire acquire) {
            return acquire(index, acquire);
        }
        if (command instanceof TaskCommand.Renew renew) {
            SchedulerTerm acting = schedulers.get(renew.dataCentre());
            if (acting == null || acting.term() != renew.term()) {
                return new CommandResult(false, acting == null ? 0 : acting.term());
            }
            schedulers.put(
                    renew.dataCentre(),
                    new SchedulerTerm(
                            acting.dataCentre(),
                            acting.term(),
                            acting.host(),
                            acting.address(),
                            acting.renewals() + 1,
                            acting.leaseMillis()));
            return new CommandResult(true, acting.term());
        }
        if (command instanceof TaskCommand.Release release) {
            return clearScheduler(index, release.dataCentre(), release.term());
        }
        return revoke(index, (TaskCommand.Revoke) command);
    }

    private CommandResult acquire(long index, TaskCommand.Acquire command) {
        SchedulerTerm acting = schedulers.get(command.dataCentre());
        long current = acting == null ? 0 : acting.term();
        if (current != command.expectedTerm()) {
            return new CommandResult(false, current);
        }
        schedulers.put(
                command.dataCentre(),
                new SchedulerTerm(
                        command.dataCentre(),
                        index,
                        command.host(),
                        command.address(),
                        0,
                        Math.max(command.leaseMillis(), acting == null ? 0 : acting.leaseMillis())));
        return new CommandResult(true, index);
    }

    private CommandResult clearScheduler(long index, DataCentreId dataCentre, long term) {
        SchedulerTerm acting = schedulers.get(dataCentre);
        if (acting == null || acting.term() != term) {
            return new CommandResult(false, acting == null ? 0 : acting.term());
        }
        schedulers.put(dataCentre, new SchedulerTerm(dataCentre, index, null, null, 0, acting.leaseMillis()));
        return new CommandResult(true, index);
    }

    private CommandResult revoke(long index, TaskCommand.Revoke command) {
        SchedulerTerm acting = schedulers.get(command.dataCentre());
        if (acting == null || acting.renewals() != command.renewals()) {
            return new CommandResult(false, acting == null ? 0 : acting.term());
        }
        CommandResult vacated = clearScheduler(index, command.dataCentre(), command.term());
        if (vacated.accepted()) {
            tasks.values().stream()
                    .filter(task -> command.dataCentre().equals(task.dataCentre()))
                    .filter(task -> !task.state().terminal())
                    .sorted(Comparator.comparing(TaskRecord::id))
                    .forEach(this::undelegate);
        }
        return vacated;
    }

    private void undelegate(TaskRecord task) {
        TaskRecord ended = task.state().live() ? TransitionRules.interrupted(task) : task;
        store(ended.withDataCentre(null));
    }
}
