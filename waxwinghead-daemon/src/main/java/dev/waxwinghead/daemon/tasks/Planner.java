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

/**
 * Reconciles services and jobs, the owners of tasks, with the configuration and delegates waiting tasks to data
 * centres.
 *
 * <p>The planner runs on the leader of the log. Two hosts may plan at once: each command is checked against the task
 * table when the command is applied.
 */
final class Planner {
    private static final int MAX_DELEGATIONS_PER_ROUND = 2_000;
    private static final long REDELEGATION_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final DaemonContext context;
    private final TaskTable table;
    private final TaskProposals proposals;
    private final SchedulerExchange exchange;
    private final WaitingTasks waiting;
    private final DataCentreFailureDetector failureDetector;
    private final RollingRestart restart;
    private final Map<TaskId, Long> delegatedAtNanos = new HashMap<>();
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
            restart.next().ifPresent(commands::add);
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
        DataCentreChooser chooser = DataCentreChooser.of(exchange.reports());
        Map<DataCentreId, List<TaskId>> chosen = new TreeMap<>();
        Map<ManifestKey, String> impossibleReasons = new HashMap<>();
        Map<ManifestKey, Map<DataCentreId, Integer>> present = new HashMap<>();
        delegatedAtNanos.keySet().retainAll(waiting.ids());
        int remaining = MAX_DELEGATIONS_PER_ROUND;
        for (TaskId id : waiting.ids()) {
            TaskRecord task = table.task(id).orElse(null);
            OwnerRecord owner = task == null ? null : table.owner(task.owner()).orElse(null);
            if (owner == null || remaining == 0 || impossibleReasons.containsKey(owner.key())) {
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
                }
            }
        }
        List<TaskCommand> commands = new ArrayList<>();
        chosen.forEach((dataCentre, tasks) -> commands.add(new TaskCommand.Delegate(dataCentre, tasks)));
        commands.addAll(impossibilityUpdates(impossibleReasons));
        return commands;
    }

    private boolean mayDelegate(TaskRecord task, OwnerRecord owner, DataCentreChooser chooser, long now) {
        if (task.dataCentre() == null) {
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
}
