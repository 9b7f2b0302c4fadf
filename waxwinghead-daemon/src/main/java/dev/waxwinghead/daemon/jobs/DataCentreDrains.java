package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.log.Event;
import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.SharedState;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.time.Deadline;
import dev.waxwinghead.model.time.Ticker;
import dev.waxwinghead.scheduling.job.JobCommand;
import dev.waxwinghead.scheduling.job.JobOutcome;
import dev.waxwinghead.scheduling.job.JobTable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Drains and undrains data centres for operators. All operations are idempotent and may be sent to any host.
 *
 * <p>An operator that gets no answer in time sends the order to another host, and later perhaps the opposite one. So an
 * order is carried out only while its sender waits for the answer, and only if no other order for the data centre has
 * been committed since this host received it.
 */
public final class DataCentreDrains {
    private final SharedState sharedState;
    private final JobTable table;
    private final Ticker ticker;

    private DataCentreDrains(SharedState sharedState, JobTable table, Ticker ticker) {
        this.sharedState = sharedState;
        this.table = table;
        this.ticker = ticker;
    }

    static DataCentreDrains of(SharedState sharedState, JobTable table, Ticker ticker) {
        return new DataCentreDrains(sharedState, table, ticker);
    }

    /**
     * Drains a data centre: no task starts on its workers until it is undrained, and its tasks move elsewhere.
     *
     * @param dataCentre the data centre
     * @param deadline the time at which the sender of the order stops waiting for the answer
     * @return the result once the drain is committed; fails with kind {@code NO_MAJORITY} if the drain was not
     *     accepted, with {@code UNAVAILABLE} if the sender does not wait any more, and with {@code UNKNOWN_OUTCOME} if
     *     the drain may yet be accepted
     */
    public CompletableFuture<DrainResult> drain(DataCentreId dataCentre, Deadline deadline) {
        return propose(
                "data-centre-drained",
                dataCentre,
                latestKnown -> new JobCommand.Drain(dataCentre, latestKnown),
                deadline);
    }

    /**
     * Reverts the drain of a data centre.
     *
     * @param dataCentre the data centre
     * @param deadline the time at which the sender of the order stops waiting for the answer
     * @return the result once the undrain is committed; fails as {@link #drain} does
     */
    public CompletableFuture<DrainResult> undrain(DataCentreId dataCentre, Deadline deadline) {
        return propose(
                "data-centre-undrained",
                dataCentre,
                latestKnown -> new JobCommand.Undrain(dataCentre, latestKnown),
                deadline);
    }

    private CompletableFuture<DrainResult> propose(
            String event, DataCentreId dataCentre, LongFunction<JobCommand> command, Deadline deadline) {
        long latestKnown;
        synchronized (table) {
            latestKnown = table.latestDrainCommand(dataCentre);
        }
        // Checked after the table was read: an order that is read in time can't know a command that replaces it.
        if (deadline.passed(ticker)) {
            return refuse(event, dataCentre, latestKnown, deadline);
        }
        return sharedState
                .propose(SectionId.JOBS, JobCodec.pack(command.apply(latestKnown)), deadline)
                .thenApply(JobCodec::unpackDrainResult)
                .thenCompose(result -> {
                    Event.of(event)
                            .with("dataCentre", dataCentre)
                            .with("latestKnown", latestKnown)
                            .with("index", result.index())
                            .with("outcome", result.outcome())
                            .write();
                    // The replica of this host may have been behind when the order was received.
                    return result.outcome() == JobOutcome.SUPERSEDED
                            ? propose(event, dataCentre, command, deadline)
                            : CompletableFuture.completedFuture(result);
                });
    }

    private CompletableFuture<DrainResult> refuse(
            String event, DataCentreId dataCentre, long latestKnown, Deadline deadline) {
        Event.of("order-expired")
                .with("order", event)
                .with("dataCentre", dataCentre)
                .with("latestKnown", latestKnown)
                .with("overdueMillis", TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - deadline.nanos()))
                .write();
        return CompletableFuture.failedFuture(WaxwingheadException.of(
                ErrorKind.UNAVAILABLE,
                "the order for " + dataCentre + " was read or superseded after its sender had stopped waiting",
                "the order had no effect; send it again"));
    }
}
