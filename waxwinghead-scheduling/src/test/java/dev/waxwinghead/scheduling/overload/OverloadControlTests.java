package dev.waxwinghead.scheduling.overload;

import static com.google.common.truth.Truth.assertThat;

import dev.waxwinghead.model.id.JobId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OverloadControlTests {
    private static final long NOW = 1_000_000;

    /** One core: a core-millisecond of work takes a millisecond. */
    private static final RoomForecast ONE_CORE = new RoomForecast(1000, 0);

    /** Returns a job of priority 0 with 1 s of work and an objective of 4 s. */
    private static JobDemand job(String id, long acceptedMillisAgo) {
        return job(id, 0, 1000, 1000, acceptedMillisAgo, 4000, false);
    }

    private static JobDemand job(
            String id, int priority, long remaining, long total, long agoMillis, long objectiveMillis, boolean begun) {
        long accepted = NOW - agoMillis;
        return new JobDemand(
                JobId.of(id),
                priority,
                remaining,
                total,
                100,
                accepted,
                accepted + objectiveMillis,
                accepted + 3 * objectiveMillis,
                begun,
                0);
    }

    private static List<String> order(RoomForecast room, JobDemand... jobs) {
        return OverloadControl.decide(new LoadView(List.of(jobs), room), NOW).stream()
                .map(job -> job.id().value())
                .toList();
    }

    @Nested
    class WithSufficientCapacity {
        /** Guards against an overload control that changes decisions of deployments without overload. */
        @ParameterizedTest
        @ValueSource(longs = {1, 7, 42, 101, 1961})
        void theOrderIsByPriorityLatenessAndDueTime(long seed) {
            Random random = new Random(seed);
            List<JobDemand> jobs = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                long work = random.nextLong(1, 100_000);
                long ago = random.nextInt(10_000);
                long objective = random.nextLong(1000, 5000);
                jobs.add(job("j" + i, random.nextInt(3), work, work, ago, objective, random.nextBoolean()));
            }
            RoomForecast ample = new RoomForecast(Long.MAX_VALUE, 0);
            List<JobDemand> expected = jobs.stream()
                    .sorted(Comparator.comparingInt(JobDemand::priority)
                            .thenComparing(job -> job.lateness(NOW))
                            .thenComparingLong(JobDemand::dueEpochMillis))
                    .toList();
            assertThat(OverloadControl.decide(new LoadView(jobs, ample), NOW))
                    .containsExactlyElementsIn(expected)
                    .inOrder();
        }

        @Test
        void lateJobsAloneChangeNothing() {
            assertThat(order(ONE_CORE, job("late", 0, 9000, 9000, 5000, 4000, false), job("new", 0)))
                    .containsExactly("new", "late")
                    .inOrder();
        }
    }

    @Nested
    class WithTooLittleCapacity {
        /** Guards against an order in which the capacity is divided among jobs that then all end late. */
        @Test
        void asManyJobsAsCanEndInTimePrecedeTheOthers() {
            JobDemand[] jobs = new JobDemand[12];
            for (int i = 0; i < jobs.length; i++) {
                jobs[i] = job("j" + i, 1200 - 100 * i);
            }
            assertThat(order(ONE_CORE, jobs).subList(0, 3))
                    .containsExactly("j9", "j10", "j11")
                    .inOrder();
        }

        @Test
        void jobsThatHaveBegunAreKeptByTheirWait() {
            JobDemand[] jobs = new JobDemand[12];
            for (int i = 0; i < jobs.length; i++) {
                jobs[i] = job("j" + i, 0, 1000, 1000, 100L * i, 4000, true);
            }
            assertThat(order(ONE_CORE, jobs).get(0)).isEqualTo("j11");
        }

        /** Guards against jobs whose first step is done and whose result is then never produced. */
        @Test
        void aJobThatHasBegunIsFinishedBeforeOthersBegin() {
            JobDemand begun = job("begun", 0, 500, 1000, 0, 4000, true);
            assertThat(order(ONE_CORE, job("a", 200), job("b", 200), job("c", 200), job("d", 200), begun)
                            .subList(0, 4))
                    .contains("begun");
        }

        /** Guards against late jobs that are left between two steps while other late jobs begin. */
        @Test
        void aLateJobThatHasBegunPrecedesOtherLateJobs() {
            JobDemand late = job("late", 0, 500, 500, 4300, 4000, false);
            JobDemand begun = job("begun", 0, 500, 1000, 4200, 4000, true);
            List<String> order =
                    order(ONE_CORE, job("a", 0), job("b", 0), job("c", 0), job("d", 0), job("e", 0), late, begun);
            assertThat(order.subList(5, 7)).containsExactly("begun", "late").inOrder();
        }

        /** Guards against a selection that prefers small jobs, so that the large ones of a class starve. */
        @Test
        void aLargeJobIsNotRemovedForSmallOnesWithLessSlack() {
            JobDemand large = job("large", 0, 3000, 3000, 0, 4000, false);
            JobDemand[] jobs = {large, job("a", 100), job("b", 200), job("c", 300)};
            assertThat(order(ONE_CORE, jobs).subList(0, 2))
                    .containsExactly("a", "large")
                    .inOrder();
        }

        /** Guards against a job that is put off for newer ones until its estimate leaves no time for an error. */
        @Test
        void aJobWithoutTimeForAnErrorOfItsEstimateIsRemovedFirst() {
            JobDemand tight =
                    new JobDemand(JobId.of("tight"), 0, 1000, 1000, 2000, NOW - 1900, NOW + 2100, NOW + 9000, false, 0);
            assertThat(order(ONE_CORE, tight, job("a", 0), job("b", 0), job("c", 0), job("d", 0))
                            .get(4))
                    .isEqualTo("tight");
        }

        @Test
        void aJobThatWaitedForHalfItsUsefulTimeGetsAShare() {
            JobDemand waited = job("waited", 6100);
            JobDemand waitedLess = job("waitedLess", 6050);
            List<String> order = order(
                    ONE_CORE, job("a", 0), job("b", 0), job("c", 0), job("d", 0), job("e", 0), waited, waitedLess);
            assertThat(order.get(0)).isEqualTo("waited");
            assertThat(order.indexOf("waitedLess")).isGreaterThan(3);
        }

        @Test
        void jobsWithoutUsefulResultFollowTheJobsOfAllPriorities() {
            JobDemand expired = job("expired", 13_000);
            JobDemand low = job("low", 2, 1000, 1000, 0, 4000, false);
            List<String> order =
                    order(ONE_CORE, expired, job("a", 0), job("b", 0), job("c", 0), job("d", 0), job("e", 0), low);
            assertThat(order.get(6)).isEqualTo("expired");
            assertThat(order.get(5)).isEqualTo("low");
        }

        @Test
        void theWorkOfHigherPrioritiesCountsAgainstLowerOnes() {
            JobDemand high = job("high", 0, 2500, 2500, 0, 4000, false);
            JobDemand low = job("low", 2, 1000, 1000, 100, 4000, false);
            JobDemand lower = job("lower", 2, 1000, 1000, 0, 4000, false);
            assertThat(order(ONE_CORE, lower, low, high))
                    .containsExactly("high", "lower", "low")
                    .inOrder();
        }
    }
}
