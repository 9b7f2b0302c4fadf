package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.scheduling.job.JobCommand;
import java.util.concurrent.CompletableFuture;

/** Drains and undrains data centres for operators. All operations are idempotent and may be sent to any host. */
public final class DataCentreDrains {
    private final SharedState sharedState;

    private DataCentreDrains(SharedState sharedState) {
        this.sharedState = sharedState;
    }

    static DataCentreDrains of(SharedState sharedState) {
        return new DataCentreDrains(sharedState);
    }

    /**
     * Drains a data centre: no task starts on its workers until it is undrained, and its tasks move elsewhere.
     *
     * @param dataCentre the data centre
     * @param deadline the time at which to give up waiting
     * @return the result once the drain is committed; fails with kind {@code NO_MAJORITY} if the drain was not accepted
     *     and with {@code UNKNOWN_OUTCOME} if it may yet be
     */
    public CompletableFuture<DrainResult> drain(DataCentreId dataCentre, Deadline deadline) {
        return propose("data-centre-drained", dataCentre, new JobCommand.Drain(dataCentre), deadline);
    }

    /**
     * Reverts the drain of a data centre.
     *
     * @param dataCentre the data centre
     * @param deadline the time at which to give up waiting
     * @return the result once the undrain is committed; fails with kind {@code NO_MAJORITY} if the undrain was not
     *     accepted and with {@code UNKNOWN_OUTCOME} if it may yet be
     */
    public CompletableFuture<DrainResult> undrain(DataCentreId dataCentre, Deadline deadline) {
        return propose("data-centre-undrained", dataCentre, new JobCommand.Undrain(dataCentre), deadline);
    }

    private CompletableFuture<DrainResult> propose(
            String event, DataCentreId dataCentre, JobCommand command, Deadline deadline) {
        return sharedState
                .propose(SectionId.JOBS, JobCodec.pack(command), deadline)
                .thenApply(JobCodec::unpackDrainResult)
                .whenComplete((result, failure) -> {
                    if (failure == null) {
                        Event.of(event)
                                .with("dataCentre", dataCentre)
                                .with("index", result.index())
                                .with("outcome", result.outcome())
                                .write();
                    }
                });
    }
}
