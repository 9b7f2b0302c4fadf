package dev.waxwinghead.daemon.operator;

import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import java.util.concurrent.CompletableFuture;

/**
 * Drains data centres and reverts drains. Each method fails with kind {@code NOT_FOUND} if the data centre is unknown.
 */
public interface DataCentreDrains {
    /**
     * Drains a data centre: no task starts there, and its service tasks move to other data centres.
     *
     * @param changeId the id of the operator's request; a resend carries the same id and gets the same index
     * @param dataCentre the data centre
     * @return the log index of the drain, once a majority has accepted it; fails with kind {@code CONFLICT} if the
     *     change id was used with other content
     */
    CompletableFuture<Long> drainDataCentre(ChangeId changeId, DataCentreId dataCentre);

    /**
     * Reverts the drain of a data centre. Has no effect on a data centre that is not drained.
     *
     * @param changeId the id of the operator's request; a resend carries the same id and gets the same index
     * @param dataCentre the data centre
     * @return the log index of the revert, once a majority has accepted it; fails with kind {@code CONFLICT} if the
     *     change id was used with other content
     */
    CompletableFuture<Long> undrainDataCentre(ChangeId changeId, DataCentreId dataCentre);

    /**
     * Returns whether the service tasks of a data centre fit elsewhere, without changing anything.
     *
     * @param dataCentre the data centre
     * @return the forecast
     */
    CompletableFuture<DrainForecast> forecastDrain(DataCentreId dataCentre);
}
