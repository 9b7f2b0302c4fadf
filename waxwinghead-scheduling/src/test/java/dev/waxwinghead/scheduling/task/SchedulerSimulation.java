package dev.waxwinghead.scheduling.task;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.JobName;
import dev.waxwinghead.model.id.TeamName;
import dev.waxwinghead.model.manifest.JobManifest;
import dev.waxwinghead.model.manifest.ManifestKey;
import dev.waxwinghead.model.manifest.ManifestKind;
import dev.waxwinghead.model.resource.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * A seeded simulation of one data centre in virtual time, with two hosts that may act as its scheduler, workers whose
 * clocks drift, and messages that are lost, delayed or reordered.
 */
final class SchedulerSimulation {
    static final DataCentreId DATA_CENTRE = DataCentreId.of("dc1");
    static final LeaseDurations TIMES = new LeaseDurations(seconds(6), seconds(3));
    private static final int JOBS = 6;
    private static final long FAULTS_END = seconds(60);
    private static final long END = seconds(400);

    final Random random;
    final TaskTable authoritativeTable = TaskTable.create();
    final Map<String, String> expectedCheckpoint = new HashMap<>();
    final Map<String, SimulatedWorker> runningOn = new HashMap<>();
    private final List<TaskCommand> log = new ArrayList<>();
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<SimulatedWorker> workers = new ArrayList<>();
    private final Set<String> cancelled = new TreeSet<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;

    SchedulerSimulation(long seed) {
        random = new Random(seed);
        for (int i = 0; i < 2; i++) {
            hosts.add(new SimulatedHost(this, "e" + i));
        }
        for (int i = 0; i < 4; i++) {
            workers.add(new SimulatedWorker(this, "w" + i));
        }
    }

    static long seconds(double value) {
        return (long) (value * 1_000_000_000L);
    }

    void run() {
        for (int i = 0; i < JOBS; i++) {
            int job = i;
            at(seconds(random.nextDouble() * 40), () -> declare(job));
        }
        for (int i = 0; i < 12; i++) {
            at(seconds(random.nextDouble() * 60), this::injectFault);
        }
        hosts.forEach(host -> at(0, host::tick));
        workers.forEach(worker -> at(random.nextInt(1_000_000), worker::tick));
        while (!events.isEmpty() && events.peek().at() < END && !allJobsEnded()) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        assertAllTasksEnded();
    }

    long now() {
        return now;
    }

    boolean faultsActive() {
        return now < FAULTS_END;
    }

    void at(long when, Runnable action) {
        events.add(new Event(Math.max(when, now), sequence++, action));
    }

    void after(double seconds, Runnable action) {
        at(now + seconds(seconds), action);
    }

    /** Returns, at random with the given probability, whether a fault occurs now; false once the faults have ended. */
    boolean faultOccurs(double probability) {
        return faultsActive() && random.nextDouble() < probability;
    }

    SimulatedHost randomHost() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    SimulatedHost host(String name) {
        return hosts.stream().filter(host -> host.name.equals(name)).findFirst().orElseThrow();
    }

    /** Appends a command to the log, which each host applies with a delay. */
    int append(TaskCommand command) {
        log.add(command);
        authoritativeTable.apply(log.size(), command);
        if (command instanceof TaskCommand.Transitions transitions) {
            transitions.transitions().forEach(this::recordStart);
        }
        return log.size();
    }

    List<TaskCommand> log() {
        return log;
    }

    private void recordStart(Transition transition) {
        if (transition instanceof Transition.Start start) {
            TaskRecord task = authoritativeTable.task(start.task()).orElseThrow();
            if (task.attempt() != null && task.attempt().number() == start.attempt()) {
                expectedCheckpoint.putIfAbsent(start.task() + "#" + start.attempt(), "" + task.checkpoint());
            }
        }
    }

    private void declare(int number) {
        String name = "job" + number;
        JobManifest job = new JobManifest(
                JobName.of(name),
                TeamName.of("team"),
                null,
                1 + random.nextInt(5),
                Resources.of(100 + random.nextInt(500), 10, random.nextInt(2)),
                null,
                random.nextInt(100),
                random.nextInt(4) == 0,
                null,
                1_000,
                null);
        long revision = authoritativeTable.configurationRevision() + 1;
        append(new TaskCommand.Reconcile(
                revision - 1, revision, List.of(new TaskCommand.OwnerChange(job.key(), revision, job))));
        if (random.nextInt(3) == 0) {
            after(random.nextDouble() * 20, () -> cancel(name));
        }
    }

    private void cancel(String name) {
        cancelled.add(name);
        append(new TaskCommand.CancelJobs(List.of(JobName.of(name))));
    }

    private void injectFault() {
        switch (random.nextInt(5)) {
            case 0 -> randomHost().freeze(random.nextDouble() * 8);
            case 1 -> randomHost().kill();
            case 2 -> randomHost().partition(random.nextDouble() * 15);
            case 3 -> randomWorker().freeze(random.nextDouble() * 8);
            default -> randomWorker().restart();
        }
    }

    private SimulatedWorker randomWorker() {
        return workers.get(random.nextInt(workers.size()));
    }

    private boolean allJobsEnded() {
        return now > FAULTS_END
                && authoritativeTable.owners().size() == JOBS
                && authoritativeTable.tasks().stream()
                        .allMatch(task -> task.state().terminal());
    }

    private void assertAllTasksEnded() {
        for (TaskRecord task : authoritativeTable.tasks()) {
            boolean mayBeCancelled = cancelled.contains(task.owner().name());
            assertWithMessage("state of %s at the end", task)
                    .that(task.state() == TaskState.COMPLETED
                            || (mayBeCancelled && task.state() == TaskState.CANCELLED))
                    .isTrue();
        }
        assertWithMessage("jobs").that(authoritativeTable.owners()).hasSize(JOBS);
    }

    static ManifestKey job(String name) {
        return ManifestKey.of(ManifestKind.JOB, name);
    }

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
