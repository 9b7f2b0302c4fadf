package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ServiceManifest;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** Holds the services and jobs of a task table, and creates and cancels tasks according to their manifests. */
final class OwnerTable {
    /** The maximum number of removed owners with an attempt floor of their own. */
    private static final int MAX_ATTEMPT_FLOORS = 4_096;

    private final TaskTable table;
    private final ConcurrentSkipListMap<ManifestKey, OwnerRecord> owners = new ConcurrentSkipListMap<>();
    private final Map<ManifestKey, Integer> attemptFloors = new LinkedHashMap<>();
    private int attemptFloor;

    OwnerTable(TaskTable table) {
        this.table = table;
    }

    OwnerRecord find(ManifestKey key) {
        return owners.get(key);
    }

    Collection<OwnerRecord> all() {
        return Collections.unmodifiableCollection(owners.values());
    }

    Map<ManifestKey, Integer> attemptFloors() {
        return attemptFloors;
    }

    int attemptFloor() {
        return attemptFloor;
    }

    void restore(TableContents contents) {
        owners.clear();
        contents.owners().forEach(owner -> owners.put(owner.key(), owner));
        attemptFloors.clear();
        attemptFloors.putAll(contents.attemptFloors());
        attemptFloor = contents.attemptFloor();
    }

    void change(TaskCommand.OwnerChange change) {
        OwnerRecord before = owners.get(change.key());
        if (change.manifest() == null) {
            if (before != null) {
                owners.put(change.key(), before.asDeleted());
                reconcileTasks(change.key());
            }
            return;
        }
        owners.put(change.key(), updated(before, change));
        reconcileTasks(change.key());
    }

    void cancel(ManifestKey key) {
        OwnerRecord owner = owners.get(key);
        if (owner != null && owner.status() != OwnerRecord.Status.FAILED) {
            owners.put(key, owner.withStatus(OwnerRecord.Status.CANCELLED, null));
            reconcileTasks(key);
        }
    }

    void fail(TaskRecord task) {
        OwnerRecord owner = owners.get(task.owner());
        if (owner != null) {
            String reason = "task " + task.id() + " failed " + task.failures() + " times: " + task.message();
            owners.put(owner.key(), owner.withStatus(OwnerRecord.Status.FAILED, reason));
            reconcileTasks(owner.key());
        }
    }

    void explain(TaskCommand.RecordReason explain) {
        OwnerRecord owner = owners.get(explain.owner());
        if (owner == null || owner.desiredTasks() == 0) {
            return;
        }
        OwnerRecord.Status status = explain.impossible() ? OwnerRecord.Status.IMPOSSIBLE : OwnerRecord.Status.ACTIVE;
        owners.put(owner.key(), owner.withStatus(status, explain.reason()));
    }

    void countOpen(ManifestKey key, int delta) {
        OwnerRecord owner = owners.get(key);
        OwnerRecord next = owner.withCounts(owner.created(), owner.open() + delta);
        owners.put(key, next);
        if (next.deleted() && next.open() == 0) {
            removeOwner(next);
        }
    }

    private static OwnerRecord updated(OwnerRecord before, TaskCommand.OwnerChange change) {
        if (before == null) {
            return new OwnerRecord(
                    change.key(),
                    change.revision(),
                    change.revision(),
                    change.manifest(),
                    0,
                    0,
                    OwnerRecord.Status.ACTIVE,
                    false,
                    null);
        }
        boolean sameTemplate = withoutCount(before.manifest()).equals(withoutCount(change.manifest()));
        boolean keepsStatus = !before.deleted()
                && (before.status() == OwnerRecord.Status.CANCELLED || before.status() == OwnerRecord.Status.FAILED);
        return new OwnerRecord(
                change.key(),
                change.revision(),
                sameTemplate ? before.templateRevision() : change.revision(),
                change.manifest(),
                before.created(),
                before.open(),
                keepsStatus ? before.status() : OwnerRecord.Status.ACTIVE,
                false,
                keepsStatus ? before.reason() : null);
    }

    private static Manifest withoutCount(Manifest manifest) {
        if (manifest instanceof ServiceManifest service) {
            return new ServiceManifest(
                    service.name(),
                    service.team(),
                    service.labels(),
                    0,
                    service.resources(),
                    service.placement(),
                    service.slots(),
                    service.connections(),
                    service.latencyTargetMillis(),
                    service.settings());
        }
        JobManifest job = (JobManifest) manifest;
        return new JobManifest(
                job.name(),
                job.team(),
                job.labels(),
                1,
                job.resources(),
                job.placement(),
                job.priority(),
                job.urgent(),
                job.expectedRunMillis(),
                job.maxFailures(),
                job.settings());
    }

    /** Creates the desired tasks, cancels all others, and removes a deleted owner without open tasks. */
    private void reconcileTasks(ManifestKey key) {
        OwnerRecord owner = owners.get(key);
        int desired = owner.desiredTasks();
        int created = Math.max(owner.created(), desired);
        owners.put(key, owner.withCounts(created, owner.open()));
        for (int i = 0; i < created; i++) {
            TaskId id = owner.taskId(i);
            if (i < desired) {
                ensureScheduled(id, key);
            } else {
                cancelTask(id);
            }
        }
        OwnerRecord after = owners.get(key);
        if (after != null && after.deleted() && after.open() == 0) {
            removeOwner(after);
        }
    }

    private void ensureScheduled(TaskId id, ManifestKey key) {
        TaskRecord task = table.find(id);
        if (task == null) {
            table.store(TaskRecord.created(id, key, attemptFloors.getOrDefault(key, attemptFloor)));
        } else if (task.state() == TaskState.CANCELLED) {
            table.store(TaskRecord.created(id, key, task.attempts()));
        } else if (task.cancelling() && task.state().live()) {
            table.store(task.withoutCancellation());
        }
    }

    private void cancelTask(TaskId id) {
        TaskRecord task = table.find(id);
        if (task != null && !task.state().terminal() && !task.cancelling()) {
            table.store(task.withCancellation());
        }
    }

    private void removeOwner(OwnerRecord owner) {
        int highest = attemptFloors.getOrDefault(owner.key(), attemptFloor);
        for (int i = 0; i < owner.created(); i++) {
            TaskId id = owner.taskId(i);
            TaskRecord task = table.find(id);
            highest = task == null ? highest : Math.max(highest, task.attempts());
            table.remove(id);
        }
        owners.remove(owner.key());
        recordAttemptFloor(owner.key(), highest);
    }

    /**
     * Records the highest attempt number of a removed owner. Workers may still report ended attempts of removed tasks,
     * so the attempt numbers of a task that is created again must continue above that number.
     */
    private void recordAttemptFloor(ManifestKey key, int highest) {
        attemptFloors.remove(key);
        attemptFloors.put(key, highest);
        if (attemptFloors.size() > MAX_ATTEMPT_FLOORS) {
            Map.Entry<ManifestKey, Integer> oldest =
                    attemptFloors.entrySet().iterator().next();
            attemptFloor = Math.max(attemptFloor, oldest.getValue());
            attemptFloors.remove(oldest.getKey());
        }
    }
}
