package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.model.id.WorkerId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays loads on fleets of simulated workers and checks what callers get. */
class FleetTests {
    private static final JobTerms URGENT = terms("urgent", 0);

    private static JobTerms terms(String name, int priority) {
        return new JobTerms(JobClassName.of(name), ServiceName.of("orders"), priority, 3, 1.5, 1200);
    }

    static JobStep step(int count, long millis, long millicores, boolean lasting, Integer... after) {
        JobStep plain = JobFixtures.step(count, List.of(after), lasting, false, lasting ? 100 : 0, millicores);
        return new JobStep(
                plain.count(),
                plain.need(),
                millis,
                plain.after(),
                true,
                false,
                false,
                "",
                "",
                0,
                false,
                lasting,
                plain.image(),
                plain.targetMillis(),
                false,
                0);
    }

    @Nested
    class ShortTasksOnHundredsOfWorkers {
        private final FleetSimulation fleet = new FleetSimulation(245, 32_000, new SilentListener());

        @Test
        void startAsPromptlyAsOnAFewDozenWorkers() {
            playTwoStepJobs();
            List<Long> delays = fleet.startDelays();
            assertThat(delays.get(delays.size() / 2)).isAtMost(100);
            assertThat(delays.get(delays.size() * 95 / 100)).isAtMost(342);
        }

        @Test
        void needNoMoreReportsThanWorkersSendByThemselves() {
            playTwoStepJobs();
            long seconds = 30;
            long ends = 20L * 20 * 20;
            assertThat(fleet.reports()).isAtMost(300 * seconds + ends + 245 * 2);
        }

        /** Submits 20 jobs a second for 20 seconds, each with two steps of ten tasks of 640 ms. */
        private void playTwoStepJobs() {
            Random random = new Random(7);
            for (int job = 0; job < 400; job++) {
                fleet.submit(
                        1000 + random.nextInt(20_000),
                        URGENT,
                        "j" + job,
                        step(10, 640, 4100, false),
                        step(10, 640, 4100, false, 0));
            }
            fleet.run(Duration.ofSeconds(30));
        }
    }

    @Nested
    class SlowWorkers {
        private final List<String> changes = new ArrayList<>();
        private final FleetSimulation fleet = new FleetSimulation(48, 32_000, new SilentListener() {
            @Override
            public void workerSpeed(WorkerId worker, boolean slow, double factor) {
                changes.add(worker + (slow ? " slow" : " sound"));
            }
        });

        @Test
        void keepFewJobsFromTheirObjective() {
            for (int worker = 0; worker < 7; worker++) {
                fleet.setSpeed(worker, 1 / 7.0);
            }
            play();
            long inTime = IntStream.range(0, 180)
                    .mapToObj(job -> fleet.duration("j" + job))
                    .filter(duration -> duration.orElse(Long.MAX_VALUE) <= URGENT.objectiveMillis(submission()))
                    .count();
            assertThat(inTime).isAtLeast(162);
        }

        @Test
        void areFoundAmongSoundOnes() {
            fleet.setSpeed(3, 1 / 7.0);
            play();
            assertThat(changes).contains("w3 slow");
            assertThat(changes.stream().filter(change -> !change.startsWith("w3 ")))
                    .isEmpty();
        }

        @Test
        void returnOnceTheyAreSound() {
            fleet.setSpeed(3, 1 / 7.0);
            fleet.at(15_000, () -> fleet.setSpeed(3, 1));
            play();
            assertThat(changes).containsAtLeast("w3 slow", "w3 sound").inOrder();
            assertThat(changes).hasSize(2);
        }

        /** Submits 6 jobs a second for 30 seconds, each with two steps of eight tasks of 2.2 s. */
        private void play() {
            Random random = new Random(7);
            for (int job = 0; job < 180; job++) {
                fleet.submit(1000 + random.nextInt(30_000), URGENT, "j" + job, first(), second());
            }
            fleet.run(Duration.ofSeconds(60));
        }

        private JobSubmission submission() {
            return new JobSubmission(JobId.of("j"), "p", List.of(first(), second()), JobSchedule.ONCE);
        }

        private JobStep first() {
            return step(8, 2200, 3500, false);
        }

        private JobStep second() {
            return step(8, 2200, 3500, false, 0);
        }
    }

    @Nested
    class TasksThatCrashTheirWorkers {
        private static final int JOBS = 200;

        @ParameterizedTest
        @ValueSource(longs = {1, 7, 42, 101, 1961})
        void areGivenUpSoonWhileAllOtherJobsComplete(long seed) {
            FleetSimulation fleet = new FleetSimulation(32, 16_000, new SilentListener());
            Random random = new Random(seed);
            Set<String> crashing = new HashSet<>();
            for (int job = 0; job < JOBS; job++) {
                String id = "j" + job;
                if (random.nextInt(20) == 0) {
                    crashing.add(id);
                    fleet.setCrashing(id);
                }
                int count = crashing.contains(id) ? 1 : 4;
                fleet.submit(1000 + random.nextInt(40_000), URGENT, id, step(count, 640, 2000, false));
            }
            for (int crash = 0; crash < 10; crash++) {
                int worker = random.nextInt(32);
                fleet.at(1000 + random.nextInt(40_000), () -> fleet.crash(worker));
            }
            fleet.run(Duration.ofSeconds(90));
            assertThat(crashing).isNotEmpty();
            for (int job = 0; job < JOBS; job++) {
                String id = "j" + job;
                boolean atFault = crashing.contains(id);
                JobState state = fleet.table().find(JobId.of(id)).orElseThrow().state();
                assertWithMessage(id).that(state).isEqualTo(atFault ? JobState.FAILED : JobState.DONE);
                assertWithMessage(id).that(fleet.crashesOf(id)).isEqualTo(atFault ? 3 : 0);
            }
        }
    }
}
