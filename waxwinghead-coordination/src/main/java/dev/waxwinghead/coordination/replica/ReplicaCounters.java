package dev.waxwinghead.coordination.replica;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a replica does. Every counter only rises.
 *
 * @since 0.1
 */
public final class ReplicaCounters {
    final LongAdder malformedMessages = new LongAdder();
    final LongAdder droppedMessages = new LongAdder();
    final LongAdder sentMessages = new LongAdder();
    final LongAdder sentBytes = new LongAdder();
    final LongAdder writtenEntries = new LongAdder();
    final LongAdder syncs = new LongAdder();
    final LongAdder leaderChanges = new LongAdder();
    final LongAdder snapshotsTaken = new LongAdder();
    final LongAdder snapshotsInstalled = new LongAdder();

    ReplicaCounters() {}

    /**
     * Returns how many messages could not be decoded.
     *
     * @return the count
     */
    public long malformedMessages() {
        return malformedMessages.sum();
    }

    /**
     * Returns how many messages were dropped because they were for another replica, another group or an old term, or
     * because too many were waiting.
     *
     * @return the count
     */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    /**
     * Returns how many messages between replicas were sent.
     *
     * @return the count
     */
    public long sentMessages() {
        return sentMessages.sum();
    }

    /**
     * Returns how many bytes the messages between replicas had, without the frames of the network.
     *
     * @return the count, in bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns how many entries were written to the storage.
     *
     * @return the count
     */
    public long writtenEntries() {
        return writtenEntries.sum();
    }

    /**
     * Returns how often the storage was synced.
     *
     * @return the count
     */
    public long syncs() {
        return syncs.sum();
    }

    /**
     * Returns how often the known leader changed.
     *
     * @return the count
     */
    public long leaderChanges() {
        return leaderChanges.sum();
    }

    /**
     * Returns how many snapshots of the own state were taken.
     *
     * @return the count
     */
    public long snapshotsTaken() {
        return snapshotsTaken.sum();
    }

    /**
     * Returns how many snapshots came from a leader.
     *
     * @return the count
     */
    public long snapshotsInstalled() {
        return snapshotsInstalled.sum();
    }
}
