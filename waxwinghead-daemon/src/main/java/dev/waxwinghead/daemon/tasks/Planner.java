package dev.waxwinghead.daemon.tasks;

import dev.waxwinghead.coordination.log.LogStatus;
import dev.waxwinghead.daemon.configuration.Configuration;
import dev.waxwinghead.daemon.part.DaemonContext;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.Manifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ServiceManifest;
import dev.waxwinghead.scheduling.task.CommandResult;
import dev.waxwinghead.scheduling.task.OwnerRecord;
import dev.waxwinghead.scheduling.task.TaskCommand;
import dev.waxwinghead.scheduling.task.TaskRecord;
import dev.waxwinghead.scheduling.task.TaskTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Reconciles services and jobs, the owners of tasks, with the configuration and delegates waiting tasks to data
 * centres.
 *
 * <p>The planner runs on the leader of the log. Two hosts may plan at once: each command is checked against the task
 * table when the command is applied.
 */
final class Planner {
    private static final Logger LOG = Logger.getLogger(Planner.class);
    private static final int MAX_DELEGATIONS_PER_ROUND = 2_000;
    private static final long REDELEGATION_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long DRAIN_MOVE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_WORKER_LIST_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final DaemonContext context;
    private final TaskTable table;
    private final TaskProposals proposals;
    private final SchedulerExchange exchange;
    private final WaitingTasks waiting;
    private final DataCentreFailureDetector failureDetector;
    private final RollingRestart restart;
    private final Map<TaskId, Long> delegatedAtNanos = new HashMap<>();
    private long workersRequestedNanos;
    private CompletableFuture<List<WorkerRow>> workerList;
    private CompletableFuture<?> inFlight = CompletableFuture.completedFuture(null);

    Planner(
            DaemonContext context,
            TaskTable table,
            TaskProposals proposals,
            SchedulerExchange exchange,
            WaitingTasks waiting) {
        this.context = context;
        this.table = table;
        this.proposals = proposals;
        this.exchange = exchange;
        this.waiting = waiting;
        this.failureDetector = new DataCentreFailureDetector(table);
        this.restart = new RollingRestart(table);
        this.workersRequestedNanos = context.ticker().nanos() - DRAIN_MOVE_INTERVAL_NANOS;
    }

    /** Plans once, unless commands of the previous round are still pending. */
    synchronized void tick() {
        long now = context.ticker().nanos();
        failureDetector.observe(now);
        if (context.sharedState().status().role() != LogStatus.Role.LEADER || !inFlight.isDone()) {
            return;
        }
        List<TaskCommand> commands = new ArrayList<>();
        reconciliation().ifPresent(commands::add);
        if (commands.isEmpty()) {
            commands.addAll(failureDetector.revocations(now));
            commands.addAll(delegations(now));
            Optional<TaskCommand> outdated = restart.next();
            // Both rely on the number of missing tasks in the table, so only one of them may stop tasks in a round.
            (outdated.isPresent() ? outdated : drainMoves(now)).ifPresent(commands::add);
        }
        inFlight = CompletableFuture.allOf(commands.stream()
                .map(command -> proposals.propose(command).exceptionally(failure -> null))
                .toArray(CompletableFuture[]::new));
    }

    /** Reconciles the task table with the configuration in force now. */
    CompletableFuture<Void> reconcile() {
        Optional<TaskCommand> command = reconciliation();
        if (command.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<CommandResult> proposed = proposals.propose(command.get());
        return proposed.thenApply(result -> null);
    }

    private Optional<TaskCommand> reconciliation() {
        Configuration configuration = context.configuration().current();
        long base = table.configurationRevision();
        if (configuration.revision() <= base) {
            return Optional.empty();
        }
        List<TaskCommand.OwnerChange> changes = new ArrayList<>();
        Set<ManifestKey> declared = new HashSet<>();
        configuration.entries().forEach((key, entry) -> {
            if (entry.manifest() instanceof ServiceManifest || entry.manifest() instanceof JobManifest) {
                declared.add(key);
                if (differs(key, entry.manifest())) {
                    changes.add(new TaskCommand.OwnerChange(key, entry.revision(), entry.manifest()));
                }
            }
        });
        for (OwnerRecord owner : table.owners()) {
            if (!owner.deleted() && !declared.contains(owner.key())) {
                changes.add(new TaskCommand.OwnerChange(owner.key(), configuration.revision(), null));
            }
        }
        return Optional.of(new TaskCommand.Reconcile(base, configuration.revision(), changes));
    }

    private boolean differs(ManifestKey key, Manifest manifest) {
        return table.owner(key)
                .map(owner -> owner.deleted() || !owner.manifest().equals(manifest))
                .orElse(true);
    }

    private List<TaskCommand> delegations(long now) {
        DataCentreChooser chooser = DataCentreChooser.of(
                exchange.reports(), table.drainedDataCentres().keySet());
        Map<DataCentreId, List<TaskId>> chosen = new TreeMap<>();
        Map<ManifestKey, String> impossibleReasons = new HashMap<>();
        Map<ManifestKey, String> drainReasons = new HashMap<>();
        Map<ManifestKey, Map<DataCentreId, Integer>> present = new HashMap<>();
        delegatedAtNanos.keySet().retainAll(waiting.ids());
        int remaining = MAX_DELEGATIONS_PER_ROUND;
        for (TaskId id : waiting.ids()) {
            TaskRecord task = table.task(id).orElse(null);
            OwnerRecord owner = task == null ? null : table.owner(task.owner()).orElse(null);
            if (owner == null
                    || remaining == 0
                    || impossibleReasons.containsKey(owner.key())
                    || drainReasons.containsKey(owner.key())) {
                continue;
            }
            Optional<String> impossible = chooser.hasWorkers() ? chooser.impossibilityReason(owner) : Optional.empty();
            if (impossible.isPresent()) {
                impossibleReasons.put(owner.key(), impossible.get());
            } else if (mayDelegate(task, owner, chooser, now)) {
                Map<DataCentreId, Integer> counts = present.computeIfAbsent(owner.key(), key -> countPresent(owner));
                Optional<DataCentreId> dataCentre = chooser.choose(owner, counts);
                if (dataCentre.isPresent()) {
                    counts.merge(dataCentre.get(), 1, Integer::sum);
                    delegatedAtNanos.put(id, now);
                    chosen.computeIfAbsent(dataCentre.get(), key -> new ArrayList<>())
                            .add(id);
                    remaining--;
                } else if (task.dataCentre() == null || table.drained(task.dataCentre())) {
                    chooser.drainReason(owner).ifPresent(reason -> drainReasons.put(owner.key(), reason));
                }
            }
        }
        List<TaskCommand> commands = new ArrayList<>();
        chosen.forEach((dataCentre, tasks) -> commands.add(new TaskCommand.Delegate(dataCentre, tasks)));
        commands.addAll(impossibilityUpdates(impossibleReasons));
        commands.addAll(drainReasonUpdates(impossibleReasons.keySet(), drainReasons, remaining > 0));
        return commands;
    }

    private boolean mayDelegate(TaskRecord task, OwnerRecord owner, DataCentreChooser chooser, long now) {
        if (task.dataCentre() == null || table.drained(task.dataCentre())) {
            return true;
        }
        long since = delegatedAtNanos.computeIfAbsent(task.id(), key -> now);
        return now - since >= REDELEGATION_DELAY_NANOS && chooser.estimateFreeSlots(owner, task.dataCentre()) <= 0;
    }

    private Map<DataCentreId, Integer> countPresent(OwnerRecord owner) {
        Map<DataCentreId, Integer> counts = new HashMap<>();
        for (int i = 0; i < owner.desiredTasks(); i++) {
            table.task(owner.taskId(i))
                    .filter(task -> task.state().live())
                    .map(TaskRecord::dataCentre)
                    .ifPresent(dataCentre -> counts.merge(dataCentre, 1, Integer::sum));
        }
        return counts;
    }

    /** Returns commands that mark owners no worker could run and clear the mark once some worker could run them. */
    private List<TaskCommand> impossibilityUpdates(Map<ManifestKey, String> impossible) {
        List<TaskCommand> commands = new ArrayList<>();
        for (OwnerRecord owner : table.owners()) {
            String reason = impossible.get(owner.key());
            boolean markedImpossible = owner.status() == OwnerRecord.Status.IMPOSSIBLE;
            if (reason != null && !(markedImpossible && Objects.equals(reason, owner.reason()))) {
                commands.add(new TaskCommand.RecordReason(owner.key(), true, reason));
            } else if (reason == null && markedImpossible) {
                commands.add(new TaskCommand.RecordReason(owner.key(), false, null));
            }
        }
        return commands;
    }

    /**
     * Returns commands that record which owners wait because of a drain, and that withdraw the reason afterwards.
     *
     * @param impossible the owners that no worker could run, which have another reason
     * @param reasons the reasons by owner
     * @param complete whether all waiting tasks were examined; otherwise no reason is withdrawn
     */
    private List<TaskCommand> drainReasonUpdates(
            Set<ManifestKey> impossible, Map<ManifestKey, String> reasons, boolean complete) {
        List<TaskCommand> commands = new ArrayList<>();
        for (OwnerRecord owner : table.owners()) {
            String reason = reasons.get(owner.key());
            if (owner.desiredTasks() == 0 || impossible.contains(owner.key())) {
                continue;
            }
            if (reason != null && !reason.equals(owner.reason())) {
                commands.add(new TaskCommand.RecordReason(owner.key(), false, reason));
            } else if (reason == null && complete && DataCentreChooser.isDrainReason(owner.reason())) {
                commands.add(new TaskCommand.RecordReason(owner.key(), false, null));
            }
        }
        return commands;
    }

    /**
     * Returns the command that stops the next service tasks in drained data centres. The list of workers is requested
     * in one round and used in a later one, so that a scheduler that does not answer delays no delegation.
     */
    private Optional<TaskCommand> drainMoves(long now) {
        if (table.drainedDataCentres().isEmpty() || now - workersRequestedNanos >= MAX_WORKER_LIST_AGE_NANOS) {
            workerList = null;
        }
        if (table.drainedDataCentres().isEmpty()) {
            return Optional.empty();
        }
        if (workerList == null) {
            if (now - workersRequestedNanos >= DRAIN_MOVE_INTERVAL_NANOS) {
                workersRequestedNanos = now;
                workerList = exchange.workers();
            }
            return Optional.empty();
        }
        if (!workerList.isDone()) {
            return Optional.empty();
        }
        List<TaskId> stops = workerList.isCompletedExceptionally()
                ? List.of()
                : DataCentreDrainMoves.nextStops(table, workerList.join());
        workerList = null;
        stops.forEach(id -> LOG.infof(
                "event=task-stop task=%s dataCentre=%s reason=data-centre-drained",
                id, table.task(id).map(TaskRecord::dataCentre).orElse(null)));
        return stops.isEmpty() ? Optional.empty() : Optional.of(new TaskCommand.Restart(stops));
    }
}
