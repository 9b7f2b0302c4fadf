package dev.waxwinghead.scheduling.task;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.scheduling.placement.HarmModel;
import dev.waxwinghead.scheduling.placement.WorkerScore;
import java.util.ArrayList;
import java.util.List;

/** A host that schedules when it holds the term, with a copy of the table that lags behind the log. */
final class SimulatedHost {
    private static final double TICK_SECONDS = 0.2;

    final String name;
    private final History history;
    private final double clockRate;
    private final TaskTable table = TaskTable.create();
    private final List<TaskId> changed = new ArrayList<>();
    private int applied;
    private long frozenUntil;
    private long cutUntil;
    private long termSeenAt;
    private SchedulerTerm seen;
    private long life;
    private boolean proposing;
    private boolean inDoubt;
    private DataCentreScheduler scheduler;

    SimulatedHost(History history, String name) {
        this.history = history;
        this.name = name;
        this.clockRate = 0.98 + 0.04 * history.random.nextDouble();
        table.onChange(task -> changed.add(task.id()));
    }

    void freeze(double seconds) {
        frozenUntil = history.now() + History.seconds(seconds);
    }

    void cutOff(double seconds) {
        cutUntil = history.now() + History.seconds(seconds);
    }

    void kill() {
        scheduler = null;
        life++;
        proposing = false;
    }

    boolean frozen() {
        return history.now() < frozenUntil;
    }

    void tick() {
        history.after(TICK_SECONDS, this::tick);
        if (frozen()) {
            return;
        }
        if (!cut()) {
            catchUp();
        }
        SchedulerTerm latest = table.scheduler(History.DATA_CENTRE).orElse(null);
        if (latest != null && !latest.equals(seen)) {
            seen = latest;
            termSeenAt = history.now();
        }
        if (scheduler != null && (latest == null || latest.term() != scheduler.term())) {
            scheduler = null;
        }
        if (scheduler == null) {
            acquireIfDue(latest);
            return;
        }
        if (inDoubt) {
            acquire(latest.term());
        }
        renew();
        takeChanges();
        scheduler.tick(clock());
        table.tasks().stream()
                .filter(task -> task.state() == TaskState.WAITING && task.dataCentre() == null)
                .map(TaskRecord::id)
                .forEach(id -> propose(new TaskCommand.Delegate(History.DATA_CENTRE, List.of(id)), index -> {}));
        flush();
    }

    /** Answers a poll if the host runs; the answer may be kept for a while by the network. */
    PollAnswer poll(PollReport report) {
        boolean acts = scheduler != null
                && table.scheduler(History.DATA_CENTRE)
                        .filter(term -> term.term() == scheduler.term())
                        .isPresent();
        if (!acts) {
            return new PollAnswer(0, 0, List.of());
        }
        takeChanges();
        PollAnswer answer = scheduler.poll(report, clock());
        flush();
        return answer;
    }

    String actingName() {
        return table.scheduler(History.DATA_CENTRE)
                .map(term -> term.host() == null ? name : term.host().value())
                .orElse(name);
    }

    private boolean cut() {
        return history.now() < cutUntil;
    }

    private long clock() {
        return (long) (history.now() * clockRate);
    }

    private void catchUp() {
        int lag = history.chance(0.3) ? history.random.nextInt(4) : 0;
        applyUpTo(history.log().size() - lag);
    }

    private void applyUpTo(int index) {
        while (applied < index) {
            table.apply(applied + 1, history.log().get(applied));
            applied++;
        }
    }

    private void takeChanges() {
        List<TaskId> taken = List.copyOf(changed);
        changed.clear();
        taken.forEach(scheduler::refresh);
    }

    private void acquireIfDue(SchedulerTerm latest) {
        if (latest == null) {
            acquire(0);
        } else if (history.now() - termSeenAt > History.seconds(2 + history.random.nextDouble())) {
            acquire(latest.term());
        }
    }

    private void acquire(long expected) {
        long sent = clock();
        TaskCommand.Acquire command = new TaskCommand.Acquire(
                History.DATA_CENTRE, HostId.of(name), name, expected, History.TIMES.longestLeaseMillis());
        propose(command, index -> {
            SchedulerTerm term = table.scheduler(History.DATA_CENTRE).orElse(null);
            if (index > 0 && term != null && term.term() == index) {
                scheduler = DataCentreScheduler.create(
                        term,
                        table,
                        History.TIMES,
                        WorkerScore.byHarm(HarmModel.NONE),
                        Learning.create(),
                        sent,
                        clock());
                proposing = false;
                inDoubt = false;
            }
        });
    }

    private void renew() {
        long sent = clock();
        DataCentreScheduler renewed = scheduler;
        propose(new TaskCommand.Renew(History.DATA_CENTRE, renewed.term()), index -> {
            if (index > 0 && table.scheduler(History.DATA_CENTRE).orElseThrow().term() == renewed.term()) {
                renewed.renewed(sent);
            }
        });
    }

    private void flush() {
        if (proposing || inDoubt) {
            return;
        }
        List<Transition> batch = scheduler.takeTransitions(100);
        if (batch.isEmpty()) {
            return;
        }
        proposing = true;
        DataCentreScheduler proposer = scheduler;
        propose(new TaskCommand.Transitions(History.DATA_CENTRE, proposer.term(), batch), index -> {
            if (scheduler == proposer) {
                proposing = false;
                if (index < 0) {
                    inDoubt = true;
                } else {
                    takeChanges();
                    scheduler.settle(batch, clock());
                }
            }
        });
    }

    /**
     * Proposes; the outcome is the index, 0 if surely not accepted, -1 if unknown: then it may still be applied late.
     */
    private void propose(TaskCommand command, java.util.function.IntConsumer outcome) {
        long proposer = life;
        java.util.function.IntConsumer told = index -> resume(proposer, index, outcome);
        if (cut() || history.chance(0.05)) {
            history.after(0.1, () -> told.accept(0));
            return;
        }
        if (history.chance(0.05)) {
            history.after(1, () -> told.accept(-1));
            if (history.random.nextBoolean()) {
                history.after(history.random.nextDouble() * 4, () -> history.append(command));
            }
            return;
        }
        history.after(0.001 + history.random.nextDouble() * 0.05, () -> {
            int index = history.append(command);
            history.after(0.002, () -> told.accept(index));
        });
    }

    private void resume(long proposer, int index, java.util.function.IntConsumer outcome) {
        if (proposer != life) {
            return;
        }
        if (frozen()) {
            history.at(frozenUntil, () -> resume(proposer, index, outcome));
            return;
        }
        if (index > 0) {
            applyUpTo(Math.max(index, applied));
        }
        outcome.accept(index);
    }
}
