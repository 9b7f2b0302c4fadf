package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.scheduling.job.ReportReceipt;
import dev.waxwinghead.scheduling.job.WorkerInstructions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Holds the reports whose answers are held back, at most one for each worker. Not thread-safe. */
final class HeldAnswers {
    private final Map<WorkerId, Held> held = new HashMap<>();

    /** Adds a report. Returns the report of the same worker that it replaces and that is never answered otherwise. */
    Optional<Held> add(ReportReceipt receipt, CompletableFuture<Optional<WorkerInstructions>> answer) {
        return Optional.ofNullable(held.put(receipt.incarnation().worker(), new Held(receipt, answer)));
    }

    /** Removes the report of a worker. */
    Optional<Held> remove(WorkerId worker) {
        return Optional.ofNullable(held.remove(worker));
    }

    /** Removes the reports whose answers are due. */
    List<Held> removeDue(long now) {
        List<Held> due = new ArrayList<>();
        held.values().removeIf(each -> each.receipt().due(now) && due.add(each));
        return due;
    }

    /** Removes all reports. */
    List<Held> removeAll() {
        List<Held> all = List.copyOf(held.values());
        held.clear();
        return all;
    }

    /**
     * A report whose answer is held back.
     *
     * @param receipt the receipt of the report
     * @param answer receives the answer
     */
    record Held(ReportReceipt receipt, CompletableFuture<Optional<WorkerInstructions>> answer) {}
}
