package dev.waxwinghead.scheduling.job;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Plays loads on fleets of simulated workers and checks what callers get. */
class FleetTests {
    private static final JobTerms URGENT = terms("urgent", 0);

    private static JobTerms terms(String name, int priority) {
        return new JobTerms(JobClassName.of(name), ServiceName.of("orders"), priority, 3, 1.5, 1200);
    }

    private static JobStep step(int count, long millis, long millicores, boolean lasting, Integer... after) {
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
        private final FleetSimulation fleet = new FleetSimulation(245, 32_000, SilentListener.INSTANCE);

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
}
