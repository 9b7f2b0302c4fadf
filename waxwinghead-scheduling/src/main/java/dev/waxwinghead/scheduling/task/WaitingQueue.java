package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;

/**
 * Orders waiting tasks: urgent jobs first, then services, then other jobs by priority, and first come, first served
 * among equals.
 *
 * <p>All tasks of one owner have the same requirements. The queue therefore orders owners, and a task that cannot be
 * placed does not block the tasks of other owners.
 */
final class WaitingQueue {
    private static final int URGENT_RANK = 2_000;
    private static final int SERVICE_RANK = 1_000;

    private final Map<ManifestKey, OwnerQueue> queues = new HashMap<>();
    private final TreeSet<OwnerQueue> order = new TreeSet<>(
            Comparator.comparingInt((OwnerQueue queue) -> -queue.rank).thenComparingLong(queue -> queue.sequence));
    private final Map<TaskId, ManifestKey> ownerByTask = new HashMap<>();
    private final Map<TaskId, Long> delayedUntil = new HashMap<>();
    private final PriorityQueue<Delayed> delayed = new PriorityQueue<>(Comparator.comparingLong(Delayed::until));
    private long sequence;

    void add(TaskRecord task, OwnerRecord owner) {
        if (ownerByTask.putIfAbsent(task.id(), owner.key()) == null && !delayedUntil.containsKey(task.id())) {
            queueOf(owner).tasks.add(task.id());
        }
    }

    void remove(TaskId task) {
        ManifestKey owner = ownerByTask.remove(task);
        OwnerQueue queue = owner == null ? null : queues.get(owner);
        if (queue != null && queue.tasks.remove(task) && queue.tasks.isEmpty()) {
            queues.remove(owner);
            order.remove(queue);
        }
    }

    /** Withholds a task until an instant. */
    void delay(TaskId task, long untilNanos) {
        delayedUntil.put(task, untilNanos);
        delayed.add(new Delayed(task, untilNanos));
    }

    /** Removes and returns the tasks whose delay has passed; the caller must add them again. */
    List<TaskId> removeDue(long now) {
        List<TaskId> due = new ArrayList<>();
        while (!delayed.isEmpty() && delayed.peek().until() - now <= 0) {
            Delayed next = delayed.poll();
            if (delayedUntil.remove(next.task(), next.until())) {
                remove(next.task());
                due.add(next.task());
            }
        }
        return due;
    }

    List<ManifestKey> owners() {
        List<ManifestKey> keys = new ArrayList<>(order.size());
        order.forEach(queue -> keys.add(queue.owner));
        return keys;
    }

    /** Returns the first waiting task of an owner, or null if there is none. */
    TaskId firstTask(ManifestKey owner) {
        OwnerQueue queue = queues.get(owner);
        return queue == null ? null : queue.tasks.iterator().next();
    }

    /** Returns the number of waiting tasks of an owner, without delayed ones. */
    int waiting(ManifestKey owner) {
        OwnerQueue queue = queues.get(owner);
        return queue == null ? 0 : queue.tasks.size();
    }

    static int rank(OwnerRecord owner) {
        if (owner.manifest() instanceof JobManifest job) {
            return job.urgent() ? URGENT_RANK : job.priority();
        }
        return SERVICE_RANK;
    }

    private OwnerQueue queueOf(OwnerRecord owner) {
        return queues.computeIfAbsent(owner.key(), key -> {
            OwnerQueue queue = new OwnerQueue(key, rank(owner), sequence++);
            order.add(queue);
            return queue;
        });
    }

    private record Delayed(TaskId task, long until) {}

    private static final class OwnerQueue {
        private final ManifestKey owner;
        private final int rank;
        private final long sequence;
        private final LinkedHashSet<TaskId> tasks = new LinkedHashSet<>();

        OwnerQueue(ManifestKey owner, int rank, long sequence) {
            this.owner = owner;
            this.rank = rank;
            this.sequence = sequence;
        }
    }
}
