package dev.waxwinghead.scheduling.job;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the checkpoint of a gang. All members of an attempt start from one checkpoint, which is fixed when the first of
 * them starts: a start may be sent again after another member has saved a later one.
 */
final class GangCheckpoint {
    private String latest = "";
    private int recency = CheckpointRecency.UNKNOWN;
    private String start = "";

    /** Fixes the checkpoint that the members of the next attempt start from. */
    void startAttempt() {
        start = latest;
        recency = CheckpointRecency.UNKNOWN;
    }

    /** Records what a member of the current attempt has saved. */
    void saved(String checkpoint, int savedRecency) {
        if (!checkpoint.isEmpty() && savedRecency >= recency) {
            latest = checkpoint;
            recency = savedRecency;
        }
    }

    String latest() {
        return latest;
    }

    int recency() {
        return recency;
    }

    String start() {
        return start;
    }

    /**
     * Restores the checkpoint from those of the members, which differ in snapshots of versions without a common one.
     * Adopts the one that most members have: members that ended together saved the same.
     */
    void restore(Collection<String> members) {
        Map<String, Integer> counts = new HashMap<>();
        latest = "";
        for (String checkpoint : members) {
            if (!checkpoint.isEmpty()) {
                counts.merge(checkpoint, 1, Integer::sum);
            }
        }
        for (String checkpoint : members) {
            if (counts.getOrDefault(checkpoint, 0) > counts.getOrDefault(latest, 0)) {
                latest = checkpoint;
            }
        }
        start = latest;
    }

    void restoreAttempt(String startedFrom, int latestRecency) {
        start = startedFrom;
        recency = latestRecency;
    }
}
