package dev.waxwinghead.daemon.configuration;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.time.Deadline;
import java.util.concurrent.CompletableFuture;

/** Submits changes of the configuration. */
public final class ConfigurationService {
    private final SharedState sharedState;

    private ConfigurationService(SharedState sharedState) {
        this.sharedState = sharedState;
    }

    /**
     * Creates a service.
     *
     * @param sharedState the shared state
     * @return the service, never null
     */
    public static ConfigurationService of(SharedState sharedState) {
        return new ConfigurationService(sharedState);
    }

    /**
     * Submits a change.
     *
     * @param change the change
     * @param deadline the time at which to give up waiting
     * @return the result; fails with kind {@code NO_MAJORITY} if the change was not accepted, and with kind
     *     {@code UNKNOWN_OUTCOME} if it may yet be, in which case the caller may resend it with the same id
     */
    public CompletableFuture<ChangeResult> submit(ConfigurationChange change, Deadline deadline) {
        return sharedState
                .propose(SectionId.CONFIGURATION, ChangeCodec.packChange(change), deadline)
                .thenApply(ChangeCodec::unpackResult);
    }
}
