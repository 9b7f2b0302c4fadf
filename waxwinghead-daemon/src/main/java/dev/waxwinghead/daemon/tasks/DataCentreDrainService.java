package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.daemon.operator.DataCentreDrains;
import dev.waxwinghead.daemon.operator.DrainForecast;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.ChangeId;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** Drains data centres by commands of the log. */
final class DataCentreDrainService implements DataCentreDrains {
    private final DaemonContext context;
    private final TaskTable table;
    private final TaskProposals proposals;
    private final SchedulerExchange exchange;

    DataCentreDrainService(
            DaemonContext context, TaskTable table, TaskProposals proposals, SchedulerExchange exchange) {
        this.context = context;
        this.table = table;
        this.proposals = proposals;
        this.exchange = exchange;
    }

    @Override
    public CompletableFuture<Long> drainDataCentre(ChangeId changeId, DataCentreId dataCentre) {
        return set(changeId, dataCentre, true);
    }

    @Override
    public CompletableFuture<Long> undrainDataCentre(ChangeId changeId, DataCentreId dataCentre) {
        return set(changeId, dataCentre, false);
    }

    @Override
    public CompletableFuture<DrainForecast> forecastDrain(DataCentreId dataCentre) {
        requireKnown(dataCentre);
        return exchange.workers().thenApply(workers -> DataCentreDrainMoves.forecast(table, dataCentre, workers));
    }

    /**
     * Returns the data centres of this host, of its peers and of the schedulers in the table, and the drained ones.
     *
     * @return the ids in their order, never null
     */
    SortedSet<DataCentreId> known() {
        SortedSet<DataCentreId> known = new TreeSet<>(table.drainedDataCentres().keySet());
        known.add(context.dataCentre());
        context.peers().peers().forEach(peer -> known.add(peer.dataCentre()));
        table.schedulers().forEach(term -> known.add(term.dataCentre()));
        return known;
    }

    /**
     * Checks that a data centre is known.
     *
     * @throws WaxwingheadException of kind {@code NOT_FOUND} if it is not
     */
    void requireKnown(DataCentreId dataCentre) {
        SortedSet<DataCentreId> known = known();
        if (!known.contains(dataCentre)) {
            throw WaxwingheadException.of(
                    ErrorKind.NOT_FOUND,
                    "there is no data centre '" + dataCentre + "'; known are "
                            + known.stream().map(DataCentreId::value).collect(Collectors.joining(", ")),
                    "see 'get data-centres'");
        }
    }

    private CompletableFuture<Long> set(ChangeId changeId, DataCentreId dataCentre, boolean drained) {
        requireKnown(dataCentre);
        return proposals
                .propose(new TaskCommand.SetDrained(changeId, dataCentre, drained))
                .thenApply(result -> indexOf(result, changeId));
    }

    private static long indexOf(CommandResult result, ChangeId changeId) {
        if (!result.accepted()) {
            throw WaxwingheadException.of(
                    ErrorKind.CONFLICT,
                    "the change id " + changeId + " was already used with different content, at log index "
                            + result.term(),
                    "send different content under a new change id");
        }
        return result.term();
    }
}
