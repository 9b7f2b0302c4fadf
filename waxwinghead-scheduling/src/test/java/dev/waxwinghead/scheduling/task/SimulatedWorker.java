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

/** A worker that records which tasks actually run, and fails the test on a violation of an invariant. */
final class SimulatedWorker {
    private static final double POLL_SECONDS = 0.5;
    private static final Resources CAPACITY = Resources.of(1_000, 100, 2);

    private final SchedulerSimulation simulation;
    private final WorkerId id;
    private final double clockRate;
    private final Map<TaskId, LocalAttempt> attempts = new HashMap<>();
    private final Set<String> started = new HashSet<>();
    private long incarnation = 1;
    private long sequence;
    private long term;
    private long leaseUntil;
    private long frozenUntil;
    private String target = "e0";

    SimulatedWorker(SchedulerSimulation simulation, String name) {
        this.simulation = simulation;
        this.id = WorkerId.of(name);
        this.clockRate = 0.98 + 0.04 * simulation.random.nextDouble();
    }

    void freeze(double seconds) {
        frozenUntil = simulation.now() + SchedulerSimulation.seconds(seconds);
    }

    void restart() {
        attempts.forEach((task, attempt) -> endRunning(task, attempt, PollReport.Phase.STOPPED));
        attempts.clear();
        incarnation++;
        sequence = 0;
        term = 0;
        leaseUntil = 0;
    }

    void tick() {
        simulation.after(0.05, this::tick);
        if (clock() >= leaseUntil) {
            // The platform ends the tasks of a frozen worker when the lease expires, as the worker cannot.
            attempts.forEach((task, attempt) -> endRunning(task, attempt, PollReport.Phase.STOPPED));
        }
        if (simulation.now() < frozenUntil) {
            return;
        }
        attempts.forEach(this::advanceTask);
        if (simulation.random.nextDouble() < 0.05 / POLL_SECONDS) {
            poll();
        }
    }

    private long clock() {
        return (long) (simulation.now() * clockRate);
    }

    private void advanceTask(TaskId task, LocalAttempt attempt) {
        if (attempt.phase != PollReport.Phase.RUNNING) {
            return;
        }
        if (simulation.now() >= attempt.endsAt) {
            boolean fails = simulation.faultOccurs(0.2);
            endRunning(task, attempt, fails ? PollReport.Phase.FAILED : PollReport.Phase.COMPLETED);
        } else if (simulation.random.nextInt(40) == 0) {
            attempt.checkpoint = task + "@" + attempt.attempt + "." + simulation.random.nextInt(1_000);
        }
    }

    private void endRunning(TaskId task, LocalAttempt attempt, PollReport.Phase phase) {
        if (attempt.phase == PollReport.Phase.RUNNING) {
            attempt.phase = phase;
            simulation.runningOn.remove(task.value(), this);
        }
    }

    private void poll() {
        long sent = clock();
        long pollerIncarnation = incarnation;
        PollReport report = report();
        SimulatedHost host = simulation.host(target);
        if (simulation.faultOccurs(0.05)) {
            target = simulation.randomHost().name;
            return;
        }
        double delay = simulation.faultOccurs(0.1) ? simulation.random.nextDouble() * 5 : 0.01;
        simulation.after(delay, () -> deliver(host, report, sent, pollerIncarnation));
    }

    private void deliver(SimulatedHost host, PollReport report, long sent, long pollerIncarnation) {
        if (host.frozen()) {
            simulation.after(0.5, () -> deliver(host, report, sent, pollerIncarnation));
            return;
        }
        PollAnswer answer = host.poll(report);
        String acting = host.actingName();
        double delay = simulation.faultOccurs(0.1) ? simulation.random.nextDouble() * 5 : 0.01;
        simulation.after(delay, () -> receive(answer, acting, sent, pollerIncarnation, report.sequence()));
    }

    /** Handles the answer to the newest poll only, since a worker has at most one poll outstanding. */
    private void receive(PollAnswer answer, String acting, long sent, long pollerIncarnation, long answeredSequence) {
        if (pollerIncarnation != incarnation || answeredSequence != sequence || simulation.now() < frozenUntil) {
            return;
        }
        if (answer.leaseNanos() == 0 || answer.term() < term) {
            target = acting;
            return;
        }
        term = answer.term();
        leaseUntil = Math.max(leaseUntil, sent + answer.leaseNanos());
        if (clock() < leaseUntil) {
            answer.commands().forEach(this::execute);
        }
    }

    private PollReport report() {
        WorkerDescription description =
                new WorkerDescription(id, SchedulerSimulation.DATA_CENTRE, RackId.of("r1"), CAPACITY, Labels.NONE);
        return new PollReport(
                description,
                incarnation,
                ++sequence,
                term,
                false,
                attempts.entrySet().stream()
                        .map(entry -> new PollReport.TaskReport(
                                entry.getKey(),
                                entry.getValue().attempt,
                                entry.getValue().phase,
                                null,
                                entry.getValue().checkpoint,
                                null))
                        .toList());
    }

    private void execute(WorkerCommand command) {
        if (command instanceof WorkerCommand.Start start) {
            start(start);
        } else if (command instanceof WorkerCommand.Stop stop) {
            LocalAttempt attempt = attempts.get(stop.task());
            if (attempt != null && attempt.attempt == stop.attempt()) {
                endRunning(stop.task(), attempt, PollReport.Phase.STOPPED);
            }
        } else if (command instanceof WorkerCommand.Acknowledge acknowledge) {
            attempts.computeIfPresent(
                    acknowledge.task(), (task, attempt) -> attempt.attempt == acknowledge.attempt() ? null : attempt);
        }
    }

    private void start(WorkerCommand.Start start) {
        LocalAttempt known = attempts.get(start.task());
        if (known != null && known.attempt >= start.attempt()) {
            return;
        }
        String attemptKey = start.task() + "#" + start.attempt();
        assertWithMessage("%s started once on %s", attemptKey, id)
                .that(started.add(attemptKey))
                .isTrue();
        SimulatedWorker elsewhere = simulation.runningOn.put(start.task().value(), this);
        assertWithMessage("%s runs on %s and %s", attemptKey, id, elsewhere == null ? null : elsewhere.id)
                .that(elsewhere)
                .isNull();
        assertWithMessage("checkpoint that %s resumes from", attemptKey)
                .that("" + start.checkpoint())
                .isEqualTo(simulation.expectedCheckpoint.get(attemptKey));
        attempts.put(
                start.task(),
                new LocalAttempt(
                        start, simulation.now() + SchedulerSimulation.seconds(1 + simulation.random.nextInt(12))));
        Resources sum = attempts.values().stream()
                .filter(local -> local.phase == PollReport.Phase.RUNNING)
                .map(local -> local.resources)
                .reduce(Resources.NONE, Resources::plus);
        assertWithMessage("%s runs %s of %s", id, sum, CAPACITY)
                .that(sum.fitsIn(CAPACITY))
                .isTrue();
        TaskState state = simulation
                .authoritativeTable
                .task(start.task())
                .map(TaskRecord::state)
                .orElse(TaskState.CANCELLED);
        assertWithMessage("%s started while %s", attemptKey, state)
                .that(state.live())
                .isTrue();
    }

    private static final class LocalAttempt {
        private final int attempt;
        private final Resources resources;
        private final long endsAt;
        private PollReport.Phase phase = PollReport.Phase.RUNNING;
        private String checkpoint;

        LocalAttempt(WorkerCommand.Start start, long endsAt) {
            this.attempt = start.attempt();
            this.resources = start.resources();
            this.checkpoint = start.checkpoint();
            this.endsAt = endsAt;
        }
    }
}
