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
 * Holds all tasks, their owners and the schedulers' terms, and applies commands to them.
 *
 * <p>The same commands in the same order give the same table. One thread at a time applies; any thread may read, and
 * sees each record whole.
 *
 * @since 0.1
 */
public final class TaskTable {
    private final Map<TaskId, TaskRecord> tasks = new ConcurrentHashMap<>();
    private final Map<DataCentreId, SchedulerTerm> schedulers = new ConcurrentHashMap<>();
    private final Map<WorkerId, Long> draining = new ConcurrentHashMap<>();
    private final OwnerTable owners = new OwnerTable(this);
    private volatile Consumer<TaskRecord> listener = changed -> {};
    private volatile long configurationRevision;

    private TaskTable() {}

    /**
     * Returns an empty table.
     *
     * @return the table, never null
     */
    public static TaskTable create() {
        return new TaskTable();
    }

    /**
     * Sets who is told of each changed record, on the applying thread.
     *
     * @param next the listener; must not block
     */
    public void onChange(Consumer<TaskRecord> next) {
        listener = next;
    }

    /**
     * Applies a command.
     *
     * @param index the command's position in the log
     * @param command the command
     * @return whether it was in force
     */
    public CommandResult apply(long index, TaskCommand command) {
        if (command instanceof TaskCommand.Transitions transitions) {
            return transit(transitions);
        }
        if (command instanceof TaskCommand.Reconcile reconcile) {
            return reconcile(index, reconcile);
        }
        if (command instanceof TaskCommand.Delegate delegate) {
            delegate.tasks().forEach(task -> delegate(task, delegate.dataCentre()));
        } else if (command instanceof TaskCommand.Restart restart) {
            restart.tasks().forEach(this::restart);
        } else if (command instanceof TaskCommand.CancelJobs cancel) {
            cancel.jobs().forEach(this::cancel);
        } else if (command instanceof TaskCommand.Explain explain) {
            owners.explain(explain);
        } else if (command instanceof TaskCommand.DrainWorker drain) {
            draining.merge(drain.worker(), drain.incarnation(), Math::max);
        } else {
            return changeScheduler(index, command);
        }
        return new CommandResult(true, index);
    }

    /**
     * Returns a task.
     *
     * @param id the task
     * @return the record, empty if there is no such task
     */
    public Optional<TaskRecord> task(TaskId id) {
        return Optional.ofNullable(tasks.get(id));
    }

    /**
     * Returns all tasks.
     *
     * @return a live view, in no order
     */
    public Collection<TaskRecord> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /**
     * Returns a service or job.
     *
     * @param key its kind and name
     * @return the record, empty if there is none
     */
    public Optional<OwnerRecord> owner(ManifestKey key) {
        return Optional.ofNullable(owners.find(key));
    }

    /**
     * Returns all services and jobs.
     *
     * @return a live view in the order of the keys
     */
    public Collection<OwnerRecord> owners() {
        return owners.all();
    }

    /**
     * Returns who schedules a data centre.
     *
     * @param dataCentre the data centre
     * @return the term, empty if nobody ever did
     */
    public Optional<SchedulerTerm> scheduler(DataCentreId dataCentre) {
        return Optional.ofNullable(schedulers.get(dataCentre));
    }

    /**
     * Returns the terms of all data centres.
     *
     * @return a live view
     */
    public Collection<SchedulerTerm> schedulers() {
        return Collections.unmodifiableCollection(schedulers.values());
    }

    /**
     * Tells whether an incarnation of a worker is to take nothing new.
     *
     * @param worker the worker
     * @param incarnation its incarnation
     * @return true if it drains
     */
    public boolean draining(WorkerId worker, long incarnation) {
        Long newest = draining.get(worker);
        return newest != null && incarnation <= newest;
    }

    /**
     * Returns the revision of the configuration that the owners follow.
     *
     * @return the revision; 0 before the first
     */
    public long configurationRevision() {
        return configurationRevision;
    }

    /**
     * Returns the whole contents.
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
                owners.attemptFloor());
    }

    /**
     * Replaces the whole contents. Listeners are not told.
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
        configurationRevision = contents.configurationRevision();
    }

    /** Stores a record and keeps its owner's counts; called by the owner table too. */
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

    private CommandResult transit(TaskCommand.Transitions command) {
        SchedulerTerm acting = schedulers.get(command.dataCentre());
        if (acting == null || acting.term() != command.term()) {
            return new CommandResult(false, acting == null ? 0 : acting.term());
        }
        for (Transition transition : command.transitions()) {
            TaskRecord task = tasks.get(transition.task());
            OwnerRecord owner = task == null ? null : owners.find(task.owner());
            if (owner != null) {
                TransitionRules.next(task, owner, command.dataCentre(), transition)
                        .ifPresent(this::storeAndFollow);
            }
        }
        return new CommandResult(true, acting.term());
    }

    private void storeAndFollow(TaskRecord next) {
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
            return vacate(index, release.dataCentre(), release.term());
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

    private CommandResult vacate(long index, DataCentreId dataCentre, long term) {
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
        CommandResult vacated = vacate(index, command.dataCentre(), command.term());
        if (vacated.accepted()) {
            tasks.values().stream()
                    .filter(task -> command.dataCentre().equals(task.dataCentre()))
                    .filter(task -> !task.state().terminal())
                    .sorted(Comparator.comparing(TaskRecord::id))
                    .forEach(this::takeBack);
        }
        return vacated;
    }

    private void takeBack(TaskRecord task) {
        TaskRecord ended = task.state().live() ? TransitionRules.interrupted(task) : task;
        store(ended.withDataCentre(null));
    }
}
