package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Proposes changes of the configuration. */
public final class ConfigurationService {
    private final SharedState sharedState;

    private ConfigurationService(SharedState sharedState) {
        this.sharedState = sharedState;
    }

    /**
     * Returns a service over the shared state.
     *
     * @param sharedState the shared state
     * @return the service, never null
     */
    public static ConfigurationService of(SharedState sharedState) {
        return new ConfigurationService(sharedState);
    }

    /**
     * Proposes a change.
     *
     * @param change the change
     * @param deadline when to give up waiting
     * @return what became of it; fails with kind {@code NO_MAJORITY} if it was surely not accepted, with kind
     *     {@code UNKNOWN_OUTCOME} if it may be: resend it with the same id then
     */
    public CompletableFuture<ChangeResult> submit(ConfigurationChange change, Deadline deadline) {
        return sharedState
                .propose(SectionId.CONFIGURATION, ChangeCodec.packChange(change), deadline)
                .thenApply(ChangeCodec::unpackResult);
    }
}
