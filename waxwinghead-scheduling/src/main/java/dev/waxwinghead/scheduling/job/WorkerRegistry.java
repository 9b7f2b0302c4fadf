package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Holds the reported workers, and rejects late reports and reports of earlier incarnations. */
final class WorkerRegistry {
    private final Map<WorkerId, WorkerEntry> latest = new HashMap<>();
    private final Map<WorkerIncarnation, WorkerEntry> earlier = new HashMap<>();
    private final Map<String, WorkerIncarnation> addresses = new HashMap<>();

    /**
     * Registers a worker's report.
     *
     * @return the worker's entry; empty if the report is late or of an earlier incarnation
     */
    Optional<WorkerEntry> register(WorkerReport report, long now) {
        WorkerIncarnation incarnation = report.incarnation();
        WorkerEntry known = latest.get(incarnation.worker());
        if (earlier.containsKey(incarnation) || addressReused(report)) {
            return Optional.empty();
        }
        if (known == null || known.incarnation().startedEpochMillis() < incarnation.startedEpochMillis()) {
            return Optional.of(addIncarnation(report, known, now));
        }
        boolean current = known.incarnation().equals(incarnation)
                && report.sequence() > known.report().sequence();
        if (!current) {
            return Optional.empty();
        }
        known.update(report, now);
        return Optional.of(known);
    }

    Collection<WorkerEntry> entries() {
        return Collections.unmodifiableCollection(latest.values());
    }

    Optional<WorkerEntry> find(WorkerIncarnation incarnation) {
        WorkerEntry entry = latest.get(incarnation.worker());
        if (entry != null && entry.incarnation().equals(incarnation)) {
            return Optional.of(entry);
        }
        return Optional.ofNullable(earlier.get(incarnation));
    }

    Optional<WorkerEntry> find(WorkerId worker) {
        return Optional.ofNullable(latest.get(worker));
    }

    /** Returns whether a later incarnation of the same worker is known. */
    boolean superseded(WorkerIncarnation incarnation) {
        WorkerEntry entry = latest.get(incarnation.worker());
        return entry != null && entry.incarnation().startedEpochMillis() > incarnation.startedEpochMillis();
    }

    /** Removes an incarnation without live runs, and its claim to its address. */
    void remove(WorkerEntry entry) {
        earlier.remove(entry.incarnation());
        addresses.remove(entry.report().address(), entry.incarnation());
        latest.remove(entry.id(), entry);
    }

    Collection<WorkerEntry> earlierIncarnations() {
        return Collections.unmodifiableCollection(earlier.values());
    }

    private boolean addressReused(WorkerReport report) {
        WorkerIncarnation holder = addresses.get(report.address());
        return holder != null
                && !holder.equals(report.incarnation())
                && holder.startedEpochMillis() > report.incarnation().startedEpochMillis();
    }

    private WorkerEntry addIncarnation(WorkerReport report, WorkerEntry known, long now) {
        if (known != null) {
            retire(known, now);
        }
        WorkerIncarnation holder = addresses.put(report.address(), report.incarnation());
        if (holder != null && !holder.worker().equals(report.incarnation().worker())) {
            find(holder).ifPresent(entry -> retire(entry, now));
        }
        WorkerEntry entry = new WorkerEntry(report, now);
        entry.update(report, now);
        latest.put(entry.id(), entry);
        return entry;
    }

    private void retire(WorkerEntry entry, long now) {
        entry.replaced(now);
        latest.remove(entry.id(), entry);
        earlier.put(entry.incarnation(), entry);
    }
}
