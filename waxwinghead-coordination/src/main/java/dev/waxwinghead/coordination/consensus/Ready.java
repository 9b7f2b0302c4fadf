package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;

/**
 * Holds the work that a {@link ReplicaCore} hands to its owner, to be done in the order of the components.
 *
 * <p>The owner syncs all writes once before it calls {@link ReplicaCore#markPersisted()} and sends the messages in
 * {@code afterSync}.
 *
 * @param immediate the messages to send at once
 * @param hardState the hard state to write, empty if unchanged
 * @param snapshot the snapshot to write and to restore the state machine from, empty if none was received
 * @param entries the entries to write, consecutive; may be empty
 * @param afterSync the messages to send once the writes are on disk
 * @param committed the entries to apply, consecutive; may be empty
 * @param confirmedReads the confirmed reads
 * @param failedReads the ids of the reads that this replica can no longer confirm
 * @since 0.1
 */
public record Ready(
        List<Outbound> immediate,
        Optional<HardState> hardState,
        Optional<Snapshot> snapshot,
        List<LogEntry> entries,
        List<Outbound> afterSync,
        List<LogEntry> committed,
        List<ConfirmedRead> confirmedReads,
        List<Long> failedReads) {
    /** Creates an instance with unmodifiable copies of the lists. */
    public Ready {
        immediate = List.copyOf(immediate);
        entries = List.copyOf(entries);
        afterSync = List.copyOf(afterSync);
        committed = List.copyOf(committed);
        confirmedReads = List.copyOf(confirmedReads);
        failedReads = List.copyOf(failedReads);
    }

    /**
     * Returns whether there is no work.
     *
     * @return true if all components are empty
     */
    public boolean isEmpty() {
        return !requiresSync()
                && immediate.isEmpty()
                && afterSync.isEmpty()
                && committed.isEmpty()
                && confirmedReads.isEmpty()
                && failedReads.isEmpty();
    }

    /**
     * Returns whether there is something to write and sync.
     *
     * @return true if there is a hard state, a snapshot or an entry
     */
    public boolean requiresSync() {
        return hardState.isPresent() || snapshot.isPresent() || !entries.isEmpty();
    }

    /**
     * Represents a message to a host.
     *
     * @param to the receiving host
     * @param message the message
     */
    public record Outbound(HostId to, Message message) {}

    /**
     * Represents a confirmed read.
     *
     * @param id the id under which the read was requested
     * @param index the index that the state machine must have applied before the read is served
     */
    public record ConfirmedRead(long id, long index) {}
}
