package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.WorkerId;
import java.util.HashMap;
import java.util.Map;

/**
 * When the leases that earlier schedulers have granted to workers have certainly expired.
 *
 * @param byWorkerNanos when the leases of workers have expired that a known scheduler has answered, in nanoseconds
 * @param otherNanos when the leases of all other workers have expired, in nanoseconds
 */
record EarlierLeases(Map<WorkerId, Long> byWorkerNanos, long otherNanos) {
    /** Returns the leases of earlier schedulers of which only the longest expiry is known. */
    static EarlierLeases unknown(long expireNanos) {
        return new EarlierLeases(Map.of(), expireNanos);
    }

    long expireNanos(WorkerId worker) {
        return byWorkerNanos.getOrDefault(worker, otherNanos);
    }

    /** Returns these leases with later knowledge of some workers. */
    EarlierLeases with(Map<WorkerId, Long> laterNanos) {
        Map<WorkerId, Long> merged = new HashMap<>(byWorkerNanos);
        merged.putAll(laterNanos);
        return new EarlierLeases(merged, otherNanos);
    }
}
