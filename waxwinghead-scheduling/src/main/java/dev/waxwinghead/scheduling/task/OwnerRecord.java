package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.Placement;
import dev.waxwinghead.model.manifest.ServiceManifest;
import dev.waxwinghead.model.resource.Resources;
import java.util.Map;

/**
 * The record of a service or job in the task table. Immutable.
 *
 * @param key the kind and name
 * @param revision the revision of the manifest
 * @param templateRevision the revision at which anything but the number of tasks last changed
 * @param manifest the manifest, a {@link ServiceManifest} or {@link JobManifest}
 * @param created the number of task ids ever created for the owner
 * @param open the number of tasks that are not in a terminal state
 * @param status the status of the owner as a whole
 * @param deleted whether the record is removed once all tasks have ended
 * @param reason why the tasks wait, or why the owner failed; null if there is no reason
 * @since 0.1
 */
public record OwnerRecord(
        ManifestKey key,
        long revision,
        long templateRevision,
        Manifest manifest,
        int created,
        int open,
        Status status,
        boolean deleted,
        String reason) {
    /** The statuses of a service or job as a whole. */
    public enum Status {
        /** The tasks of the owner are scheduled. */
        ACTIVE,
        /** No known worker could run the tasks, even if idle. */
        IMPOSSIBLE,
        /** An operator has cancelled the owner. */
        CANCELLED,
        /** A task of the owner has failed too often. */
        FAILED
    }

    /**
     * Returns whether the owner is a service.
     *
     * @return true for a service, false for a job
     */
    public boolean service() {
        return manifest instanceof ServiceManifest;
    }

    /**
     * Returns the desired number of tasks.
     *
     * @return the number of replicas or tasks; 0 once the owner has been cancelled, deleted or has failed
     */
    public int desiredTasks() {
        if (deleted || status == Status.CANCELLED || status == Status.FAILED) {
            return 0;
        }
        return manifest instanceof ServiceManifest service ? service.replicas() : ((JobManifest) manifest).tasks();
    }

    /**
     * Returns the id of a task.
     *
     * @param index the index of the task, from 0
     * @return the id, never null
     */
    public TaskId taskId(int index) {
        return service() ? TaskId.of(ServiceName.of(key.name()), index) : TaskId.of(JobName.of(key.name()), index);
    }

    /**
     * Returns the resources declared for one task.
     *
     * @return the resources, never null
     */
    public Resources resources() {
        return manifest instanceof ServiceManifest service ? service.resources() : ((JobManifest) manifest).resources();
    }

    /**
     * Returns the labels of the tasks.
     *
     * @return the labels, never null
     */
    public Labels labels() {
        return manifest instanceof ServiceManifest service ? service.labels() : ((JobManifest) manifest).labels();
    }

    /**
     * Returns the placement rules of the tasks.
     *
     * @return the rules, never null
     */
    public Placement placement() {
        return manifest instanceof ServiceManifest service ? service.placement() : ((JobManifest) manifest).placement();
    }

    /**
     * Returns the team whose quota the tasks use.
     *
     * @return the team, never null
     */
    public TeamName team() {
        return manifest instanceof ServiceManifest service ? service.team() : ((JobManifest) manifest).team();
    }

    /**
     * Returns the settings that are passed to the tasks.
     *
     * @return the settings, never null
     */
    public Map<String, String> settings() {
        return manifest instanceof ServiceManifest service ? service.settings() : ((JobManifest) manifest).settings();
    }

    OwnerRecord withCounts(int nextCreated, int nextOpen) {
        return new OwnerRecord(
                key, revision, templateRevision, manifest, nextCreated, nextOpen, status, deleted, reason);
    }

    OwnerRecord withStatus(Status next, String nextReason) {
        return new OwnerRecord(key, revision, templateRevision, manifest, created, open, next, deleted, nextReason);
    }

    OwnerRecord asDeleted() {
        return new OwnerRecord(key, revision, templateRevision, manifest, created, open, status, true, reason);
    }

    /** Returns the parameters with which tasks announce themselves as upstreams; null for a job. */
    ServiceTerms serviceTerms() {
        return manifest instanceof ServiceManifest service
                ? new ServiceTerms(service.name(), service.slots(), service.connections())
                : null;
    }
}
