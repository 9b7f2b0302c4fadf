package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.List;

/**
 * A change to the {@link TaskTable}, as it stands in the log.
 *
 * @since 0.1
 */
public sealed interface TaskCommand {
    /**
     * Makes a host the scheduler of a data centre.
     *
     * @param dataCentre the data centre
     * @param host the host
     * @param address its worker port
     * @param expectedTerm the term that it follows; 0 if there was none. Refused if another came between
     * @param leaseMillis how long after its last renewal a lease that it grants may run, in milliseconds
     */
    record Acquire(DataCentreId dataCentre, HostId host, String address, long expectedTerm, long leaseMillis)
            implements TaskCommand {}

    /**
     * Renews the role of a scheduler.
     *
     * @param dataCentre the data centre
     * @param term the scheduler's term
     */
    record Renew(DataCentreId dataCentre, long term) implements TaskCommand {}

    /**
     * Gives the role of a scheduler up.
     *
     * @param dataCentre the data centre
     * @param term the scheduler's term
     */
    record Release(DataCentreId dataCentre, long term) implements TaskCommand {}

    /**
     * Takes all tasks back from a data centre whose scheduler and workers have surely lost their leases.
     *
     * @param dataCentre the data centre
     * @param term the last term seen there
     * @param renewals the last renewal seen of that term; refused if there was another since
     */
    record Revoke(DataCentreId dataCentre, long term, long renewals) implements TaskCommand {}

    /**
     * Changes tasks of a data centre.
     *
     * @param dataCentre the data centre
     * @param term the scheduler's term; refused as a whole if another scheduler acts
     * @param transitions the changes; each counts by itself
     */
    record Transitions(DataCentreId dataCentre, long term, List<Transition> transitions) implements TaskCommand {
        /** Copies the list. */
        public Transitions {
            transitions = List.copyOf(transitions);
        }
    }

    /**
     * Brings services and jobs in line with a revision of the configuration.
     *
     * @param base the revision that the table is expected to have; refused if it has another
     * @param revision the new revision
     * @param changes the services and jobs that differ
     */
    record Reconcile(long base, long revision, List<OwnerChange> changes) implements TaskCommand {
        /** Copies the list. */
        public Reconcile {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Tells one service or job that differs.
     *
     * @param key its kind and name
     * @param revision the revision of its manifest
     * @param manifest the manifest; null if it was deleted
     */
    record OwnerChange(ManifestKey key, long revision, Manifest manifest) {}

    /**
     * Delegates waiting tasks to a data centre. Tasks that no longer wait are passed over.
     *
     * @param dataCentre the data centre
     * @param tasks the tasks
     */
    record Delegate(DataCentreId dataCentre, List<TaskId> tasks) implements TaskCommand {
        /** Copies the list. */
        public Delegate {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Stops live tasks so that they run again by the newest manifest.
     *
     * @param tasks the tasks
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
     * @param jobs the jobs; those that do not exist are passed over
     */
    record CancelJobs(List<JobName> jobs) implements TaskCommand {
        /** Copies the list. */
        public CancelJobs {
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * Says why the tasks of a service or job wait.
     *
     * @param owner the service or job
     * @param impossible whether no worker could ever run them
     * @param reason the reason; null if nothing keeps them any more
     */
    record Explain(ManifestKey owner, boolean impossible, String reason) implements TaskCommand {}

    /**
     * Lets a worker take nothing new and moves its tasks away.
     *
     * @param worker the worker
     * @param incarnation the newest incarnation that this holds for
     */
    record DrainWorker(WorkerId worker, long incarnation) implements TaskCommand {}
}
