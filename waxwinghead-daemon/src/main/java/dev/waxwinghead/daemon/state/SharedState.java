package dev.waxwinghead.daemon.state;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** The shared state of the cluster, which consists of sections. */
public interface SharedState {
    /**
     * Proposes a command to a section, as {@link dev.waxwinghead.coordination.log.ReplicatedLog#propose} does.
     *
     * @param section the section
     * @param command the command
     * @param deadline the time at which to give up waiting
     * @return completes with the section's result
     */
    CompletableFuture<byte[]> propose(SectionId section, byte[] command, Deadline deadline);

    /**
     * Waits until the sections of this host are current, as
     * {@link dev.waxwinghead.coordination.log.ReplicatedLog#readBarrier} does.
     *
     * @param deadline the time at which to give up waiting
     * @return completes with the index up to which this host has applied the log
     */
    CompletableFuture<Long> readBarrier(Deadline deadline);

    /**
     * Returns the current status of the log, as far as this host knows.
     *
     * @return the status, never null
     */
    LogStatus status();
}
