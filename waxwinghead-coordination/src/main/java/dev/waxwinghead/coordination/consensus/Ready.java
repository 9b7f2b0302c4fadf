package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import dev.waxwinghead.model.id.HostId;
import java.util.List;
import java.util.Optional;

/**
 * Lists what a replica has to do, in the order of the fields.
 *
 * <p>Everything written is synced once before {@link ReplicaCore#persisted()} is called and before the messages of
 * {@code afterSync} leave.
 *
 * @param immediate messages that may leave at once
 * @param hardState the hard state to write, if it changed
 * @param snapshot the snapshot to write and to restore the state machine from, if one came
 * @param entries the entries to write, consecutive; may be empty
 * @param afterSync messages that may leave once all this is on disk
 * @param committed the entries to apply, consecutive; may be empty
 * @param confirmedReads reads that are confirmed up to an index
 * @param failedReads reads that can't be confirmed here any more
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
    /** Copies the lists. */
    public Ready {
        immediate = List.copyOf(immediate);
        entries = List.copyOf(entries);
        afterSync = List.copyOf(afterSync);
        committed = List.copyOf(committed);
        confirmedReads = List.copyOf(confirmedReads);
        failedReads = List.copyOf(failedReads);
    }

    /**
     * Tells whether there is nothing to do.
     *
     * @return true if all fields are empty
     */
    public boolean isEmpty() {
        return !writes()
                && immediate.isEmpty()
                && afterSync.isEmpty()
                && committed.isEmpty()
                && confirmedReads.isEmpty()
                && failedReads.isEmpty();
    }

    /**
     * Tells whether something has to reach the disk.
     *
     * @return true if there is a hard state, a snapshot or an entry
     */
    public boolean writes() {
        return hardState.isPresent() || snapshot.isPresent() || !entries.isEmpty();
    }

    /**
     * Holds a message and where it goes.
     *
     * @param to the host
     * @param message the message
     */
    public record Outbound(HostId to, Message message) {}

    /**
     * Holds a confirmed read.
     *
     * @param id the id that the read was requested under
     * @param index the state machine has to have applied this index
     */
    public record ConfirmedRead(long id, long index) {}
}
