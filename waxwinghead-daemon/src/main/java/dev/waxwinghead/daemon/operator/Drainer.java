package dev.waxwinghead.daemon.operator;

import dev.waxwinghead.model.id.ChangeId;
import java.util.concurrent.CompletableFuture;

/** Starts the drain of one kind of target. */
@FunctionalInterface
public interface Drainer {
    /**
     * Starts a drain.
     *
     * @param changeId the id of the operator's request; a resend carries the same id
     * @param name the name of the target
     * @return a future that completes once the drain is accepted
     */
    CompletableFuture<Void> drain(ChangeId changeId, String name);
}
