package dev.waxwinghead.scheduling.job;

import dev.waxwinghead.model.id.WorkerId;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Keeps the workers by what they reported, and puts late reports and earlier lives in their place. */
final class WorkerBook {
    private final Map<WorkerId, WorkerEntry> newest = new HashMap<>();
    private final Map<WorkerLife, WorkerEntry> earlier = new HashMap<>();
    private final Map<String, WorkerLife> addresses = new HashMap<>();

    /**
     * Takes a report in.
     *
     * @return the worker's entry; empty if the report is late or of a life that is over
     */
    Optional<WorkerEntry> take(WorkerReport report, long now) {
        WorkerLife life = report.life();
        WorkerEntry known = newest.get(life.worker());
        if (earlier.containsKey(life) || outlived(report)) {
            return Optional.empty();
        }
        if (known == null || known.life().startedEpochMillis() < life.startedEpochMillis()) {
            return Optional.of(begin(report, known, now));
        }
        boolean current =
                known.life().equals(life) && report.sequence() > known.report().sequence();
        if (!current || known.isGone()) {
            return Optional.empty();
        }
        known.update(report, now);
        return Optional.of(known);
    }

    Collection<WorkerEntry> entries() {
        return Collections.unmodifiableCollection(newest.values());
    }

    Optional<WorkerEntry> find(WorkerLife life) {
        WorkerEntry entry = newest.get(life.worker());
        if (entry != null && entry.life().equals(life)) {
            return Optional.of(entry);
        }
        return Optional.ofNullable(earlier.get(life));
    }

    Optional<WorkerEntry> find(WorkerId worker) {
        return Optional.ofNullable(newest.get(worker));
    }

    /** Tells whether a later life of the same worker is known. */
    boolean superseded(WorkerLife life) {
        WorkerEntry entry = newest.get(life.worker());
        return entry != null && entry.life().startedEpochMillis() > life.startedEpochMillis();
    }

    /** Forgets a life on which nothing runs any more. */
    void forget(WorkerEntry entry) {
        earlier.remove(entry.life());
        newest.remove(entry.id(), entry);
    }

    Collection<WorkerEntry> earlierLives() {
        return Collections.unmodifiableCollection(earlier.values());
    }

    private boolean outlived(WorkerReport report) {
        WorkerLife holder = addresses.get(report.address());
        return holder != null
                && !holder.equals(report.life())
                && holder.startedEpochMillis() > report.life().startedEpochMillis();
    }

    private WorkerEntry begin(WorkerReport report, WorkerEntry known, long now) {
        if (known != null) {
            end(known, now);
        }
        WorkerLife holder = addresses.put(report.address(), report.life());
        if (holder != null && !holder.worker().equals(report.life().worker())) {
            find(holder).ifPresent(entry -> end(entry, now));
        }
        WorkerEntry entry = new WorkerEntry(report, now);
        entry.update(report, now);
        newest.put(entry.id(), entry);
        return entry;
    }

    private void end(WorkerEntry entry, long now) {
        entry.gone(now);
        newest.remove(entry.id(), entry);
        earlier.put(entry.life(), entry);
    }
}
