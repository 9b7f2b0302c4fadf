package dev.waxwinghead.daemon.state;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Proposes changes to the sections of the shared state. */
public interface SharedState {
    /**
     * Proposes a command to a section; see {@link dev.waxwinghead.coordination.log.ReplicatedLog#propose}.
     *
     * @param section the section
     * @param command the command
     * @param deadline when to give up waiting
     * @return the section's result
     */
    CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline);

    /**
     * Waits until this host's sections are current; see
     * {@link dev.waxwinghead.coordination.log.ReplicatedLog#readBarrier}.
     *
     * @param deadline when to give up waiting
     * @return the index up to which this host has applied the log
     */
    CompletableFuture<Long> readBarrier(Deadline deadline);

    /**
     * Returns what this host knows about the log now.
     *
     * @return the status, never null
     */
    LogStatus status();
}
