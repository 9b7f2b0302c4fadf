package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.placement.ColocationCostModel;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import java.util.ArrayList;
import java.util.List;

/** A host that schedules while it has the current term, with a copy of the task table that lags behind the log. */
final class SimulatedHost {
    private static final double TICK_SECONDS = 0.2;

    final String name;
    private final SchedulerSimulation simulation;
    private final double clockRate;
    private final TaskTable table = TaskTable.create();
    private final List<TaskId> changedTasks = new ArrayList<>();
    private int applied;
    private long frozenUntil;
    private long partitionedUntil;
    private long lastSeenAt;
    private SchedulerTerm lastSeenTerm;
    private long incarnation;
    private boolean proposing;
    private boolean outcomeUnknown;
    private DataCentreScheduler scheduler;
    private DataCentreScheduler latestScheduler;

    SimulatedHost(SchedulerSimulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
        this.clockRate = 0.98 + 0.04 * simulation.random.nextDouble();
        table.onChange(task -> changedTasks.add(task.id()));
    }

    void freeze(double seconds) {
        frozenUntil = simulation.now() + SchedulerSimulation.seconds(seconds);
    }

    void partition(double seconds) {
        partitionedUntil = simulation.now() + SchedulerSimulation.seconds(seconds);
    }

    void kill() {
        scheduler = null;
        latestScheduler = null;
        incarnation++;
        proposing = false;
    }

    boolean frozen() {
        return simulation.now() < frozenUntil;
    }

    void tick() {
        simulation.after(TICK_SECONDS, this::tick);
        if (frozen()) {
            return;
        }
        if (!partitioned()) {
            catchUp();
        }
        SchedulerTerm latest = table.scheduler(SchedulerSimulation.DATA_CENTRE).orElse(null);
        if (latest != null && !latest.equals(lastSeenTerm)) {
            lastSeenTerm = latest;
            lastSeenAt = simulation.now();
        }
        if (scheduler != null && (latest == null || latest.term() != scheduler.term())) {
            scheduler = null;
        }
        if (scheduler == null) {
            acquireIfDue(latest);
            return;
        }
        if (outcomeUnknown) {
            acquire(latest.term());
        }
        renew();
        refreshChangedTasks();
        scheduler.tick(clock());
        table.tasks().stream()
                .filter(task -> task.state() == TaskState.WAITING && task.dataCentre() == null)
                .map(TaskRecord::id)
                .forEach(id ->
                        propose(new TaskCommand.Delegate(SchedulerSimulation.DATA_CENTRE, List.of(id)), index -> {}));
        flush();
    }

    /** Answers a poll, without a lease unless this host is the acting scheduler. */
    PollAnswer poll(PollReport report) {
        boolean acting = scheduler != null
                && table.scheduler(SchedulerSimulation.DATA_CENTRE)
                        .filter(term -> term.term() == scheduler.term())
                        .isPresent();
        if (!acting) {
            return new PollAnswer(0, 0, List.of());
        }
        refreshChangedTasks();
        PollAnswer answer = scheduler.poll(report, clock());
        flush();
        return answer;
    }

    String actingName() {
        return table.scheduler(SchedulerSimulation.DATA_CENTRE)
                .map(term -> term.host() == null ? name : term.host().value())
                .orElse(name);
    }

    private boolean partitioned() {
        return simulation.now() < partitionedUntil;
    }

    private long clock() {
        return (long) (simulation.now() * clockRate);
    }

    private void catchUp() {
        int lag = simulation.faultOccurs(0.3) ? simulation.random.nextInt(4) : 0;
        applyUpTo(simulation.log().size() - lag);
    }

    private void applyUpTo(int index) {
        while (applied < index) {
            table.apply(applied + 1, simulation.log().get(applied));
            applied++;
        }
    }

    private void refreshChangedTasks() {
        List<TaskId> pending = List.copyOf(changedTasks);
        changedTasks.clear();
        pending.forEach(scheduler::refreshTask);
    }

    private void acquireIfDue(SchedulerTerm latest) {
        if (latest == null) {
            acquire(0);
        } else if (simulation.now() - lastSeenAt > SchedulerSimulation.seconds(2 + simulation.random.nextDouble())) {
            acquire(latest.term());
        }
    }

    private void acquire(long expected) {
        long sent = clock();
        TaskCommand.Acquire command = new TaskCommand.Acquire(
                SchedulerSimulation.DATA_CENTRE,
                HostId.of(name),
                name,
                expected,
                SchedulerSimulation.TIMES.maxLeaseMillis());
        propose(command, index -> {
            SchedulerTerm term =
                    table.scheduler(SchedulerSimulation.DATA_CENTRE).orElse(null);
            if (index > 0 && term != null && term.term() == index) {
                scheduler = createScheduler(term, expected, sent);
                latestScheduler = scheduler;
                proposing = false;
                outcomeUnknown = false;
            }
        });
    }

    private DataCentreScheduler createScheduler(SchedulerTerm term, long expected, long sent) {
        WorkerScore score = WorkerScore.byCost(ColocationCostModel.NONE);
        if (latestScheduler != null && latestScheduler.term() == expected) {
            return latestScheduler.succeed(term, score, LearnedCostModel.create(), sent, clock());
        }
        return DataCentreScheduler.create(
                term, table, SchedulerSimulation.TIMES, score, LearnedCostModel.create(), sent, clock());
    }

    private void renew() {
        long sent = clock();
        DataCentreScheduler renewed = scheduler;
        propose(new TaskCommand.Renew(SchedulerSimulation.DATA_CENTRE, renewed.term()), index -> {
            if (index > 0
                    && table.scheduler(SchedulerSimulation.DATA_CENTRE)
                                    .orElseThrow()
                                    .term()
                            == renewed.term()) {
                renewed.extendAuthority(sent);
            }
        });
    }

    private void flush() {
        if (proposing || outcomeUnknown) {
            return;
        }
        List<Transition> batch = scheduler.takeTransitions(100);
        if (batch.isEmpty()) {
            return;
        }
        proposing = true;
        DataCentreScheduler proposer = scheduler;
        propose(new TaskCommand.Transitions(SchedulerSimulation.DATA_CENTRE, proposer.term(), batch), index -> {
            if (scheduler == proposer) {
                proposing = false;
                if (index < 0) {
                    outcomeUnknown = true;
                } else {
                    refreshChangedTasks();
                    scheduler.settle(batch, clock());
                }
            }
        });
    }

    /**
     * Proposes a command. The outcome is the log index, 0 if the command was certainly not accepted, or -1 if unknown,
     * in which case the command may still be appended later.
     */
    private void propose(TaskCommand command, java.util.function.IntConsumer outcome) {
        long proposer = incarnation;
        java.util.function.IntConsumer callback = index -> deliverOutcome(proposer, index, outcome);
        if (partitioned() || simulation.faultOccurs(0.05)) {
            simulation.after(0.1, () -> callback.accept(0));
            return;
        }
        if (simulation.faultOccurs(0.05)) {
            simulation.after(1, () -> callback.accept(-1));
            if (simulation.random.nextBoolean()) {
                simulation.after(simulation.random.nextDouble() * 4, () -> simulation.append(command));
            }
            return;
        }
        simulation.after(0.001 + simulation.random.nextDouble() * 0.05, () -> {
            int index = simulation.append(command);
            simulation.after(0.002, () -> callback.accept(index));
        });
    }

    private void deliverOutcome(long proposer, int index, java.util.function.IntConsumer outcome) {
        if (proposer != incarnation) {
            return;
        }
        if (frozen()) {
            simulation.at(frozenUntil, () -> deliverOutcome(proposer, index, outcome));
            return;
        }
        if (index > 0) {
            applyUpTo(Math.max(index, applied));
        }
        outcome.accept(index);
    }
}
