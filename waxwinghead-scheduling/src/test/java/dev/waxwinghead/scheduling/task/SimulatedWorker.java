package dev.waxwinghead.scheduling.task;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.model.id.RackId;
import dev.waxwinghead.model.id.TaskId;
import dev.waxwinghead.model.id.WorkerId;
import dev.waxwinghead.model.label.Labels;
import dev.waxwinghead.model.resource.Resources;
import dev.waxwinghead.scheduling.placement.WorkerDescription;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A worker that records what truly runs, and fails the test when that breaks a rule. */
final class SimulatedWorker {
    private static final double POLL_SECONDS = 0.5;
    private static final Resources CAPACITY = Resources.of(1_000, 100, 2);

    private final History history;
    private final WorkerId id;
    private final double clockRate;
    private final Map<TaskId, Held> held = new HashMap<>();
    private final Set<String> started = new HashSet<>();
    private long incarnation = 1;
    private long sequence;
    private long term;
    private long leaseUntil;
    private long frozenUntil;
    private String target = "e0";

    SimulatedWorker(History history, String name) {
        this.history = history;
        this.id = WorkerId.of(name);
        this.clockRate = 0.98 + 0.04 * history.random.nextDouble();
    }

    void freeze(double seconds) {
        frozenUntil = history.now() + History.seconds(seconds);
    }

    void restart() {
        held.forEach((task, one) -> endRunning(task, one, PollReport.Phase.STOPPED));
        held.clear();
        incarnation++;
        sequence = 0;
        term = 0;
        leaseUntil = 0;
    }

    void tick() {
        history.after(0.05, this::tick);
        if (clock() >= leaseUntil) {
            // A frozen worker's tasks are ended by its platform at the same moment.
            held.forEach((task, one) -> endRunning(task, one, PollReport.Phase.STOPPED));
        }
        if (history.now() < frozenUntil) {
            return;
        }
        held.forEach(this::work);
        if (history.random.nextDouble() < 0.05 / POLL_SECONDS) {
            poll();
        }
    }

    private long clock() {
        return (long) (history.now() * clockRate);
    }

    private void work(TaskId task, Held one) {
        if (one.phase != PollReport.Phase.RUNNING) {
            return;
        }
        if (history.now() >= one.endsAt) {
            boolean fails = history.chance(0.2);
            endRunning(task, one, fails ? PollReport.Phase.FAILED : PollReport.Phase.COMPLETED);
        } else if (history.random.nextInt(40) == 0) {
            one.checkpoint = task + "@" + one.attempt + "." + history.random.nextInt(1_000);
        }
    }

    private void endRunning(TaskId task, Held one, PollReport.Phase phase) {
        if (one.phase == PollReport.Phase.RUNNING) {
            one.phase = phase;
            history.runningOn.remove(task.value(), this);
        }
    }

    private void poll() {
        long sent = clock();
        long poller = incarnation;
        PollReport report = report();
        SimulatedHost host = history.host(target);
        if (history.chance(0.05)) {
            target = history.anyHost().name;
            return;
        }
        double delay = history.chance(0.1) ? history.random.nextDouble() * 5 : 0.01;
        history.after(delay, () -> deliver(host, report, sent, poller));
    }

    private void deliver(SimulatedHost host, PollReport report, long sent, long poller) {
        if (host.frozen()) {
            history.after(0.5, () -> deliver(host, report, sent, poller));
            return;
        }
        PollAnswer answer = host.poll(report);
        String acting = host.actingName();
        double delay = history.chance(0.1) ? history.random.nextDouble() * 5 : 0.01;
        history.after(delay, () -> receive(answer, acting, sent, poller, report.sequence()));
    }

    /** Takes the answer to the newest poll only, as a worker that polls once at a time does. */
    private void receive(PollAnswer answer, String acting, long sent, long poller, long answered) {
        if (poller != incarnation || answered != sequence || history.now() < frozenUntil) {
            return;
        }
        if (answer.leaseNanos() == 0 || answer.term() < term) {
            target = acting;
            return;
        }
        term = answer.term();
        leaseUntil = Math.max(leaseUntil, sent + answer.leaseNanos());
        if (clock() < leaseUntil) {
            answer.commands().forEach(this::obey);
        }
    }

    private PollReport report() {
        WorkerDescription description =
                new WorkerDescription(id, History.DATA_CENTRE, RackId.of("r1"), CAPACITY, Labels.NONE);
        return new PollReport(
                description,
                incarnation,
                ++sequence,
                term,
                false,
                held.entrySet().stream()
                        .map(entry -> new PollReport.TaskReport(
                                entry.getKey(),
                                entry.getValue().attempt,
                                entry.getValue().phase,
                                null,
                                entry.getValue().checkpoint,
                                null))
                        .toList());
    }

    private void obey(WorkerCommand command) {
        if (command instanceof WorkerCommand.Start start) {
            start(start);
        } else if (command instanceof WorkerCommand.Stop stop) {
            Held one = held.get(stop.task());
            if (one != null && one.attempt == stop.attempt()) {
                endRunning(stop.task(), one, PollReport.Phase.STOPPED);
            }
        } else if (command instanceof WorkerCommand.Acknowledge acknowledge) {
            held.computeIfPresent(acknowledge.task(), (task, one) -> one.attempt == acknowledge.attempt() ? null : one);
        }
    }

    private void start(WorkerCommand.Start start) {
        Held known = held.get(start.task());
        if (known != null && known.attempt >= start.attempt()) {
            return;
        }
        String attempt = start.task() + "#" + start.attempt();
        assertWithMessage("%s started once on %s", attempt, id)
                .that(started.add(attempt))
                .isTrue();
        SimulatedWorker elsewhere = history.runningOn.put(start.task().value(), this);
        assertWithMessage("%s runs on %s and %s", attempt, id, elsewhere == null ? null : elsewhere.id)
                .that(elsewhere)
                .isNull();
        assertWithMessage("checkpoint that %s resumes from", attempt)
                .that("" + start.checkpoint())
                .isEqualTo(history.expectedCheckpoint.get(attempt));
        held.put(start.task(), new Held(start, history.now() + History.seconds(1 + history.random.nextInt(12))));
        Resources sum = held.values().stream()
                .filter(one -> one.phase == PollReport.Phase.RUNNING)
                .map(one -> one.resources)
                .reduce(Resources.NONE, Resources::plus);
        assertWithMessage("%s runs %s of %s", id, sum, CAPACITY)
                .that(sum.fitsIn(CAPACITY))
                .isTrue();
        TaskState state =
                history.truth.task(start.task()).map(TaskRecord::state).orElse(TaskState.CANCELLED);
        assertWithMessage("%s started while %s", attempt, state)
                .that(state.live())
                .isTrue();
    }

    private static final class Held {
        private final int attempt;
        private final Resources resources;
        private final long endsAt;
        private PollReport.Phase phase = PollReport.Phase.RUNNING;
        private String checkpoint;

        Held(WorkerCommand.Start start, long endsAt) {
            this.attempt = start.attempt();
            this.resources = start.resources();
            this.checkpoint = start.checkpoint();
            this.endsAt = endsAt;
        }
    }
}
