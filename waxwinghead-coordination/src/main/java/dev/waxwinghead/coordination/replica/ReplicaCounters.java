package dev.waxwinghead.coordination.replica;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the operations of a replica. Counters never decrease.
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
    final LongAdder refusedWrites = new LongAdder();
    final LongAdder leaderChanges = new LongAdder();
    final LongAdder elections = new LongAdder();
    final LongAdder refusedVotes = new LongAdder();
    final LongAdder joinRequests = new LongAdder();
    final LongAdder snapshotsTaken = new LongAdder();
    final LongAdder snapshotsInstalled = new LongAdder();

    ReplicaCounters() {}

    /**
     * Returns the number of messages that could not be decoded.
     *
     * @return the count
     */
    public long malformedMessages() {
        return malformedMessages.sum();
    }

    /**
     * Returns the number of messages dropped because they were for another replica, for another group or of an old
     * term, or because too many events were queued.
     *
     * @return the count
     */
    public long droppedMessages() {
        return droppedMessages.sum();
    }

    /**
     * Returns the number of consensus messages sent.
     *
     * @return the count
     */
    public long sentMessages() {
        return sentMessages.sum();
    }

    /**
     * Returns the total size of the consensus messages sent, without the framing of the network.
     *
     * @return the count, in bytes
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * Returns the number of entries written to the storage.
     *
     * @return the count
     */
    public long writtenEntries() {
        return writtenEntries.sum();
    }

    /**
     * Returns the number of storage syncs.
     *
     * @return the count
     */
    public long syncs() {
        return syncs.sum();
    }

    /**
     * Returns the number of writes that the storage refused, attempts to resume included.
     *
     * @return the count
     */
    public long refusedWrites() {
        return refusedWrites.sum();
    }

    /**
     * Returns the number of changes of the known leader.
     *
     * @return the count
     */
    public long leaderChanges() {
        return leaderChanges.sum();
    }

    /**
     * Returns the number of times that this replica requested votes, repetitions included.
     *
     * @return the count
     */
    public long elections() {
        return elections.sum();
    }

    /**
     * Returns the number of votes that this replica refused to other candidates.
     *
     * @return the count
     */
    public long refusedVotes() {
        return refusedVotes.sum();
    }

    /**
     * Returns the number of answered or failed requests of this replica to join the group.
     *
     * @return the count
     */
    public long joinRequests() {
        return joinRequests.sum();
    }

    /**
     * Returns the number of snapshots taken of the local state.
     *
     * @return the count
     */
    public long snapshotsTaken() {
        return snapshotsTaken.sum();
    }

    /**
     * Returns the number of snapshots installed from a leader.
     *
     * @return the count
     */
    public long snapshotsInstalled() {
        return snapshotsInstalled.sum();
    }
}
