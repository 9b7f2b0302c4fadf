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
 * Holds what the log says about a service or job. Immutable.
 *
 * @param key the kind and name
 * @param revision the revision of its manifest
 * @param templateRevision the revision at which anything but the number of tasks last changed
 * @param manifest the manifest, a {@link ServiceManifest} or {@link JobManifest}
 * @param created how many tasks were ever created for it
 * @param open how many of them are not in a terminal state
 * @param status what became of it as a whole
 * @param deleted whether it is forgotten once all tasks have ended
 * @param reason why its tasks wait; null if nothing keeps them
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
    /** Lists what can become of a service or job as a whole. */
    public enum Status {
        /** Its tasks are scheduled. */
        ACTIVE,
        /** No worker could ever run its tasks. */
        IMPOSSIBLE,
        /** An operator cancelled it. */
        CANCELLED,
        /** One of its tasks failed too often. */
        FAILED
    }

    /**
     * Tells whether it is a service.
     *
     * @return true for a service, false for a job
     */
    public boolean service() {
        return manifest instanceof ServiceManifest;
    }

    /**
     * Returns how many tasks are wanted.
     *
     * @return the number of replicas or tasks; 0 once it was cancelled, deleted or has failed
     */
    public int wanted() {
        if (deleted || status == Status.CANCELLED || status == Status.FAILED) {
            return 0;
        }
        return manifest instanceof ServiceManifest service ? service.replicas() : ((JobManifest) manifest).tasks();
    }

    /**
     * Returns the id of a task.
     *
     * @param index the task's number, from 0
     * @return the id, never null
     */
    public TaskId taskId(int index) {
        return service() ? TaskId.of(ServiceName.of(key.name()), index) : TaskId.of(JobName.of(key.name()), index);
    }

    /**
     * Returns what one task is declared to need.
     *
     * @return the amounts, never null
     */
    public Resources resources() {
        return manifest instanceof ServiceManifest service ? service.resources() : ((JobManifest) manifest).resources();
    }

    /**
     * Returns the labels of its tasks.
     *
     * @return the labels, never null
     */
    public Labels labels() {
        return manifest instanceof ServiceManifest service ? service.labels() : ((JobManifest) manifest).labels();
    }

    /**
     * Returns where its tasks may land.
     *
     * @return the rules, never null
     */
    public Placement placement() {
        return manifest instanceof ServiceManifest service ? service.placement() : ((JobManifest) manifest).placement();
    }

    /**
     * Returns the team whose quota it uses.
     *
     * @return the team, never null
     */
    public TeamName team() {
        return manifest instanceof ServiceManifest service ? service.team() : ((JobManifest) manifest).team();
    }

    /**
     * Returns the settings that its tasks are started with.
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

    /** Returns what its tasks announce themselves with; null for a job. */
    ServiceTerms serviceTerms() {
        return manifest instanceof ServiceManifest service
                ? new ServiceTerms(service.name(), service.slots(), service.connections())
                : null;
    }
}
