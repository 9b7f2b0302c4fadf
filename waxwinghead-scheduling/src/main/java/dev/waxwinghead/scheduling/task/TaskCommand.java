package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.List;

/**
 * A command in the log that changes the {@link TaskTable}.
 *
 * @since 0.1
 */
public sealed interface TaskCommand {
    /**
     * Makes a host the scheduler of a data centre.
     *
     * @param dataCentre the data centre
     * @param host the host
     * @param address the address for polls of workers
     * @param expectedTerm the previous term, or 0 for none; the command is refused if another term is current
     * @param leaseMillis how long after its last renewal a lease granted by the host may run, in milliseconds
     */
    record Acquire(DataCentreId dataCentre, HostId host, String address, long expectedTerm, long leaseMillis)
            implements TaskCommand {}

    /**
     * Renews the term of a scheduler.
     *
     * @param dataCentre the data centre
     * @param term the scheduler's term
     */
    record Renew(DataCentreId dataCentre, long term) implements TaskCommand {}

    /**
     * Gives up the role of scheduler.
     *
     * @param dataCentre the data centre
     * @param term the scheduler's term
     */
    record Release(DataCentreId dataCentre, long term) implements TaskCommand {}

    /**
     * Withdraws all tasks from a data centre after the leases of its scheduler and workers have certainly expired.
     *
     * @param dataCentre the data centre
     * @param term the last observed term
     * @param renewals the last observed number of renewals of that term; the command is refused if the term has been
     *     renewed since
     */
    record Revoke(DataCentreId dataCentre, long term, long renewals) implements TaskCommand {}

    /**
     * Changes tasks of a data centre. Starts are ignored while the data centre is drained.
     *
     * @param dataCentre the data centre
     * @param term the term of the scheduler; all transitions are refused if another term is current
     * @param transitions the transitions, each applied or ignored independently; never null
     */
    record Transitions(DataCentreId dataCentre, long term, List<Transition> transitions) implements TaskCommand {
        /** Copies the list. */
        public Transitions {
            transitions = List.copyOf(transitions);
        }
    }

    /**
     * Reconciles services and jobs with a revision of the configuration.
     *
     * @param base the expected revision of the table; the command is refused if the table has another revision
     * @param revision the new revision
     * @param changes the services and jobs that differ between the revisions, never null
     */
    record Reconcile(long base, long revision, List<OwnerChange> changes) implements TaskCommand {
        /** Copies the list. */
        public Reconcile {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A change to one service or job.
     *
     * @param key the kind and name
     * @param revision the revision of the manifest
     * @param manifest the manifest; null if the service or job was deleted
     */
    record OwnerChange(ManifestKey key, long revision, Manifest manifest) {}

    /**
     * Delegates waiting tasks to a data centre. Tasks that are no longer waiting are ignored, and so is the command if
     * the data centre is drained.
     *
     * @param dataCentre the data centre
     * @param tasks the ids of the tasks, never null
     */
    record Delegate(DataCentreId dataCentre, List<TaskId> tasks) implements TaskCommand {
        /** Copies the list. */
        public Delegate {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Stops live tasks so that they run again with the newest manifest.
     *
     * @param tasks the ids of the tasks, never null
     */
    record Restart(List<TaskId> tasks) implements TaskCommand {
        /** Copies the list. */
        public Restart {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Cancels jobs.
     *
     * @param jobs the names of the jobs, never null; unknown jobs are ignored
     */
    record CancelJobs(List<JobName> jobs) implements TaskCommand {
        /** Copies the list. */
        public CancelJobs {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * Records why the tasks of a service or job are waiting.
     *
     * @param owner the service or job
     * @param impossible whether no known worker could run the tasks, even if idle
     * @param reason the reason; null if the tasks are no longer waiting
     */
    record RecordReason(ManifestKey owner, boolean impossible, String reason) implements TaskCommand {}

    /**
     * Drains a worker, which then gets no new tasks and whose tasks are evicted.
     *
     * @param worker the worker
     * @param incarnation the newest incarnation to which the drain applies
     */
    record DrainWorker(WorkerId worker, long incarnation) implements TaskCommand {}

    /**
     * Drains a data centre or reverts the drain. No task starts in a drained data centre, and no task is delegated to
     * it. The command is refused if its change id was used with other content.
     *
     * @param change the id of the operator's request; a resend has the same id and the result of the first command
     * @param dataCentre the data centre
     * @param drained true to drain the data centre, false to revert the drain
     */
    record SetDrained(ChangeId change, DataCentreId dataCentre, boolean drained) implements TaskCommand {}
}
