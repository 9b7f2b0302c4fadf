package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.scheduling.job.WorkerReport.EndedRun;
import dev.waxwinghead.scheduling.job.WorkerReport.ReportedEnd;
import dev.waxwinghead.scheduling.job.WorkerReport.RunningTask;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Plays a gang through random crashes, cuts, stops, lost answers, draining workers and changes of the scheduler. Guards
 * against members of a gang that are started from different checkpoints, or from one older than a committed end.
 */
class GangHistoryTests {
    private static final int HISTORIES = 1000;
    private static final int ROUNDS = 180;
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** The time after which a member that waits for the others ends. */
    private static final long GANG_NANOS = TimeUnit.SECONDS.toNanos(3);

    @Test
    void startsEachAttemptFromOneCheckpointThatIsNotOutdated() {
        int restarts = 0;
        for (int seed = 0; seed < HISTORIES; seed++) {
            History history = new History(seed);
            history.play();
            restarts += history.startsByAttempt.size() - 1;
        }
        assertThat(restarts).isAtLeast(HISTORIES);
    }

    private static final class History {
        private static final SchedulerTimes TIMES = new SchedulerTimes(
                Duration.ofNanos(LEASE_NANOS), Duration.ofSeconds(1), Duration.ofSeconds(120), Duration.ofMillis(20));
        private static final int MEMBERS = 3;

        private final int seed;
        private final Random random;
        private final JobTable table = JobTable.create();
        private final List<Worker> workers = new ArrayList<>();
        private final Map<Integer, Integer> startsByAttempt = new HashMap<>();
        private final Map<Integer, Gang> gangs = new HashMap<>();
        private JobScheduler scheduler;
        private long now = TimeUnit.SECONDS.toNanos(1000);
        private long index;
        private long incarnations;
        private int latestCommitted;

        History(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
            takeOver();
            for (int i = 0; i <= MEMBERS + 1; i++) {
                workers.add(new Worker("10.0.0." + i + ":8080"));
            }
            table.apply(++index, JobFixtures.accept("g1", JobFixtures.gang(MEMBERS, 3000)));
        }

        void play() {
            for (int round = 0; round < ROUNDS; round++) {
                now += ROUND_NANOS;
                gangs.values().forEach(Gang::work);
                disturb();
                workers.forEach(Worker::tick);
                workers.forEach(Worker::report);
                if (random.nextInt(4) > 0) {
                    commit(scheduler.plan(now, 0));
                }
            }
        }

        private void commit(List<JobTransition> plan) {
            table.apply(++index, new JobCommand.Advance(table.epoch(), plan));
            for (JobTransition transition : plan) {
                if (transition instanceof JobTransition.Ended ended) {
                    latestCommitted = Math.max(latestCommitted, number(ended.checkpoint()));
                }
            }
        }

        private void disturb() {
            Worker worker = workers.get(random.nextInt(workers.size()));
            switch (random.nextInt(80)) {
                case 0, 1 -> worker.cut = !worker.cut;
                case 2 -> worker.crash();
                case 3 -> worker.end(ReportedEnd.STOPPED);
                case 4 -> worker.leaving = !worker.leaving;
                case 5 -> takeOver();
                default -> {}
            }
        }

        private void takeOver() {
            scheduler = JobScheduler.of(table, TIMES, service -> true, new SilentListener());
            table.apply(++index, new JobCommand.Acquire(HostId.of("h" + index)));
            scheduler.takeOver(now);
        }

        private void startSent(RunKey run, int checkpoint) {
            Integer first = startsByAttempt.putIfAbsent(run.attempt(), checkpoint);
            if (first == null) {
                assertWithMessage("seed %s, checkpoint of %s", seed, run)
                        .that(checkpoint)
                        .isAtLeast(latestCommitted);
            } else {
                assertWithMessage("seed %s, checkpoint of %s", seed, run)
                        .that(checkpoint)
                        .isEqualTo(first);
            }
        }

        /** What the members of an attempt have in common. */
        private static final class Gang {
            private final int start;
            private int present;
            private int done;
            private boolean broken;

            Gang(int start) {
                this.start = start;
                this.done = start;
            }

            void work() {
                if (present == MEMBERS && !broken) {
                    done++;
                }
            }

            /** Returns the latest checkpoint; every second unit of work has one. */
            int saved() {
                return Math.max(start, done / 2 * 2);
            }
        }

        private final class Worker {
            private final String address;
            private final List<EndedRun> ends = new ArrayList<>();
            private WorkerIncarnation incarnation;
            private Optional<RunKey> running = Optional.empty();
            private int highestAttempt;
            private long sequence;
            private long lastEnd;
            private long leaseEndNanos;
            private long startedNanos;
            private boolean cut;
            private boolean leaving;

            Worker(String address) {
                this.address = address;
                restart();
            }

            private void restart() {
                incarnations++;
                incarnation = JobFixtures.incarnation("w" + incarnations, incarnations);
                ends.clear();
                lastEnd = 0;
                highestAttempt = 0;
                running = Optional.empty();
            }

            void crash() {
                running.ifPresent(run -> gangs.get(run.attempt()).broken = true);
                restart();
            }

            void tick() {
                if (running.isEmpty()) {
                    return;
                }
                Gang gang = gangs.get(running.get().attempt());
                if (now - leaseEndNanos > 0) {
                    end(ReportedEnd.LEASE_EXPIRED);
                } else if (gang.broken) {
                    end(ReportedEnd.GANG_BROKEN);
                } else if (gang.present < MEMBERS && now - startedNanos > GANG_NANOS) {
                    end(ReportedEnd.GANG_INCOMPLETE);
                }
            }

            /** Ends the run; a stop saves all work done so far. */
            void end(ReportedEnd how) {
                running.ifPresent(run -> {
                    Gang gang = gangs.get(run.attempt());
                    gang.broken = true;
                    int saved = how == ReportedEnd.STOPPED ? gang.done : gang.saved();
                    ends.add(new EndedRun(++lastEnd, run, how, text(saved)));
                });
                running = Optional.empty();
            }

            void report() {
                if (cut || random.nextInt(3) == 0) {
                    return;
                }
                List<RunningTask> rows = running.stream().map(this::row).toList();
                WorkerReport report =
                        JobFixtures.report(incarnation, ++sequence, address, leaving, rows, List.copyOf(ends));
                Optional<WorkerInstructions> answer = scheduler.report(report, now);
                answer.ifPresent(instructions ->
                        instructions.starts().forEach(start -> startSent(start.run(), number(start.checkpoint()))));
                if (random.nextInt(5) > 0) {
                    answer.ifPresent(this::obey);
                }
            }

            private RunningTask row(RunKey run) {
                Gang gang = gangs.get(run.attempt());
                return new RunningTask(run, text(gang.saved()), gang.saved() / 2, 0);
            }

            private void obey(WorkerInstructions instructions) {
                leaseEndNanos = now + LEASE_NANOS;
                ends.removeIf(end -> end.number() <= instructions.acknowledged());
                instructions.stops().forEach(run -> {
                    if (running.filter(run::equals).isPresent()) {
                        end(ReportedEnd.STOPPED);
                    }
                });
                instructions.starts().forEach(this::start);
            }

            private void start(WorkerInstructions.Start start) {
                int attempt = start.run().attempt();
                if (running.isEmpty() && attempt > highestAttempt) {
                    highestAttempt = attempt;
                    startedNanos = now;
                    running = Optional.of(start.run());
                    gangs.computeIfAbsent(attempt, key -> new Gang(number(start.checkpoint()))).present++;
                }
            }
        }

        private static String text(int saved) {
            return saved == 0 ? "" : "c" + saved;
        }

        private static int number(String checkpoint) {
            return checkpoint.isEmpty() ? 0 : Integer.parseInt(checkpoint.substring(1));
        }
    }
}
