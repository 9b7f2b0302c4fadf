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
 * Orders waiting tasks: urgent ones, then services, then jobs by priority; first come, first served among equals.
 *
 * <p>Tasks of one owner are alike, so the queue is one of owners, and a refused task keeps no other owner waiting.
 */
final class WaitingQueue {
    private static final int URGENT_RANK = 2_000;
    private static final int SERVICE_RANK = 1_000;

    private final Map<ManifestKey, Line> lines = new HashMap<>();
    private final TreeSet<Line> order =
            new TreeSet<>(Comparator.comparingInt((Line line) -> -line.rank).thenComparingLong(line -> line.sequence));
    private final Map<TaskId, ManifestKey> members = new HashMap<>();
    private final Map<TaskId, Long> delayedUntil = new HashMap<>();
    private final PriorityQueue<Delayed> delayed = new PriorityQueue<>(Comparator.comparingLong(Delayed::until));
    private long sequence;

    void add(TaskRecord task, OwnerRecord owner) {
        if (members.putIfAbsent(task.id(), owner.key()) == null && !delayedUntil.containsKey(task.id())) {
            line(owner).tasks.add(task.id());
        }
    }

    void remove(TaskId task) {
        ManifestKey owner = members.remove(task);
        Line line = owner == null ? null : lines.get(owner);
        if (line != null && line.tasks.remove(task) && line.tasks.isEmpty()) {
            lines.remove(owner);
            order.remove(line);
        }
    }

    /** Keeps a task from being offered before an instant. */
    void delay(TaskId task, long untilNanos) {
        delayedUntil.put(task, untilNanos);
        delayed.add(new Delayed(task, untilNanos));
    }

    /** Makes the tasks whose delay has passed available; the caller then adds them again. */
    List<TaskId> due(long now) {
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
        order.forEach(line -> keys.add(line.owner));
        return keys;
    }

    /** Returns the first task of an owner, or null if none waits. */
    TaskId first(ManifestKey owner) {
        Line line = lines.get(owner);
        return line == null ? null : line.tasks.iterator().next();
    }

    /** Returns how many tasks of an owner are on offer. */
    int waiting(ManifestKey owner) {
        Line line = lines.get(owner);
        return line == null ? 0 : line.tasks.size();
    }

    static int rank(OwnerRecord owner) {
        if (owner.manifest() instanceof JobManifest job) {
            return job.urgent() ? URGENT_RANK : job.priority();
        }
        return SERVICE_RANK;
    }

    private Line line(OwnerRecord owner) {
        return lines.computeIfAbsent(owner.key(), key -> {
            Line line = new Line(key, rank(owner), sequence++);
            order.add(line);
            return line;
        });
    }

    private record Delayed(TaskId task, long until) {}

    private static final class Line {
        private final ManifestKey owner;
        private final int rank;
        private final long sequence;
        private final LinkedHashSet<TaskId> tasks = new LinkedHashSet<>();

        Line(ManifestKey owner, int rank, long sequence) {
            this.owner = owner;
            this.rank = rank;
            this.sequence = sequence;
        }
    }
}
